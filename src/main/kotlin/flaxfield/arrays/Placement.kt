package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room

/** A machine as a round sees it; [free] shrinks as the round assumes tasks on it. */
class Seat(val machine: Machine, val tenure: ULong, var free: Room, val images: Set<String>, val empty: Boolean)

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
                it.machine.name !in job.errorHosts && it.free.holds(spec.need)
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
