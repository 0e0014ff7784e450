package flaxfield.arrays

import flaxfield.fleet.Flavor
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room
import flaxfield.jobs.Validation

/** A machine as a round sees it; [free] shrinks as the round assumes tasks on it. */
class Seat(val machine: Machine, val tenure: ULong, var free: Room, val images: Collection<String>, val empty: Boolean) {
    /** The same seat for a round whose assumptions are its own. */
    fun copy() = Seat(machine, tenure, free, images, empty)
}

/** Rules on where a task may go that depend on where the job's other tasks are now. */
class ZoneRule(private val spec: JobSpec, placedSites: List<String>) {
    private val bySite = HashMap<String, Int>()
    private val most = (spec.shards + 1) / 2

    init {
        for (s in placedSites) bySite.merge(s, 1, Int::plus)
    }

    fun allows(site: String): Boolean = when {
        spec.site != null && spec.site != site -> false
        spec.samePlace && bySite.keys.any { it != site } -> false
        spec.scatter && (bySite[site] ?: 0) >= most -> false
        else -> true
    }

    fun add(site: String) {
        bySite.merge(site, 1, Int::plus)
    }

    companion object {
        /** Whether machines like this one may run the job's tasks at all. */
        fun kindAllowed(spec: JobSpec, flavor: String, site: String, lendable: Boolean): Boolean =
            (spec.flavors == null || flavor in spec.flavors) &&
                (spec.site == null || spec.site == site) &&
                (!lendable || spec.lendable)
    }
}

/**
 * Which machine types jobs that may use no cheap machines have asked for lately. Ordinary machines of
 * these types are left to such jobs: an array on the only ordinary machines made gangs wait or evict it.
 */
class Reserved {
    private val untilMs = HashMap<String, Long>()
    private val gangs = HashMap<String, Job>()
    private var waiting: Map<String, Room> = emptyMap()
    private var tasksWaiting: Map<String, Int> = emptyMap()

    /** Notes the jobs in the view; what they asked for stays reserved for [keepMs]. */
    fun note(jobs: Collection<Job>, flavors: Collection<Flavor>, nowMs: Long, keepMs: Long) {
        for (j in jobs) {
            if (j.spec.lendable) continue
            for (f in flavors) if (Validation.allowed(j.spec, f)) untilMs[f.label] = nowMs + keepMs
        }
        untilMs.values.removeIf { it < nowMs }
        for (j in jobs) if (j.isGang && (gangs[j.spec.owner]?.submittedMs ?: 0L) < j.submittedMs) gangs[j.spec.owner] = j
        gangs.values.removeIf { it.submittedMs < nowMs - keepMs }
        val parked = jobs.filter { it.isGang && !it.cancelled && it.placedCount == 0 }
        waiting = parked.groupBy { it.spec.owner }
            .mapValues { (_, list) -> list.fold(Room.NONE) { sum, j -> sum + j.spec.need * j.spec.shards } }
        tasksWaiting = flavors.associate { f ->
            f.label to parked.filter { !it.spec.lendable && Validation.allowed(it.spec, f) }.sumOf { it.spec.shards }
        }
    }

    /** Whether any gang waits for ordinary machines. */
    val gangsWait: Boolean get() = tasksWaiting.values.any { it > 0 }

    /**
     * Whether waiting gangs will take every one of the [open] ordinary machines of this type that no gang is on.
     * Arrays that filled them as they came up were told to make way moments later: a thousand tasks in 20 s were
     * placed, stopped and placed again, and each gang began as much later.
     */
    fun spokenFor(flavor: String, open: Int): Boolean = (tasksWaiting[flavor] ?: 0).let { it > 0 && it >= open }

    /**
     * The part of a team's limit that its arrays leave free: what its waiting gangs need, or its latest
     * one's need for the next. Arrays that filled the limit made the team's gangs wait for minutes.
     */
    fun ofLimit(team: String): Room = waiting[team] ?: gangs[team]?.let { it.spec.need * it.spec.shards } ?: Room.NONE

    /** Whether machines of this kind may be rented for tasks of [spec]. */
    fun rents(spec: JobSpec, flavor: String, lendable: Boolean): Boolean = lendable || !spec.lendable || flavor !in untilMs

    /** Whether tasks of [spec] are on a machine of this kind only until it is needed, or returned. */
    fun guests(spec: JobSpec, flavor: String, lendable: Boolean): Boolean = spec.saveEveryS > 0.0 && !rents(spec, flavor, lendable)

    /** Whether tasks of [spec] may fill such a machine while it is free: those that save are cheap to evict. */
    fun fills(spec: JobSpec, flavor: String, lendable: Boolean): Boolean = spec.saveEveryS > 0.0 || rents(spec, flavor, lendable)
}

/** Pure: which of a part's machines take which tasks of an array. */
object ArrayRound {
    /**
     * Places up to [most] pending tasks of [job], starting with task [from], and shrinks the seats' room.
     * Returns task numbers with their seats.
     */
    fun place(job: Job, seats: List<Seat>, rule: ZoneRule, from: Int, most: Int): Map<Int, Seat> {
        if (most <= 0) return emptyMap()
        val spec = job.spec
        val fit = seats.filter {
            ZoneRule.kindAllowed(spec, it.machine.flavor, it.machine.site, it.machine.lendable) &&
                it.machine.name !in job.errorHosts &&
                it.free.holds(spec.need)
        }.sortedWith(order(spec))
        if (fit.isEmpty()) return emptyMap()
        val result = LinkedHashMap<Int, Seat>()
        val tasks = job.pending(from).iterator()
        for (seat in fit) {
            while (result.size < most && seat.free.holds(spec.need) && rule.allows(seat.machine.site)) {
                if (!tasks.hasNext()) return result
                result[tasks.next()] = seat
                seat.free -= spec.need
                rule.add(seat.machine.site)
            }
        }
        return result
    }

    /** Cheap kind first, then machines with the image, then the fuller ones so that others can empty. */
    private fun order(spec: JobSpec) = compareBy<Seat> { if (spec.lendable && !it.machine.lendable) 1 else 0 }
        .thenBy { if (spec.bundle in it.images) 0 else 1 }
        .thenBy { it.free.gpus }
        .thenBy { it.free.cpus }
        .thenBy { it.machine.name }
}
