package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/** A machine as a round sees it; [free] shrinks as the round assumes tasks on it. */
class PlacementCandidate(
    val machine: Machine,
    val incarnation: ULong,
    var free: Resources,
    val images: Collection<String>,
    val empty: Boolean,
    /** How many more tasks its reports can tell of. */
    var places: Int = Int.MAX_VALUE,
) {
    /** The same seat for a round whose assumptions are its own. */
    fun copy() = PlacementCandidate(machine, incarnation, free, images, empty, places)
}

/** Rules on where a task may go that depend on where the job's other tasks are now. */
class TopologyConstraint(private val spec: JobSpec, placedSites: List<String>) {
    private val bySite = HashMap<String, Int>()
    private val most = (spec.taskCount + 1) / 2

    init {
        for (s in placedSites) bySite.merge(s, 1, Int::plus)
    }

    fun allows(zone: String): Boolean = when {
        spec.zone != null && spec.zone != zone -> false
        spec.sameZone && bySite.keys.any { it != zone } -> false
        spec.spreadAcrossZones && (bySite[zone] ?: 0) >= most -> false
        else -> true
    }

    fun add(zone: String) {
        bySite.merge(zone, 1, Int::plus)
    }

    companion object {
        /** Whether machines like this one may run the job's tasks at all. */
        fun allowsMachineKind(spec: JobSpec, machineType: String, zone: String, preemptible: Boolean): Boolean =
            (spec.machineTypes == null || machineType in spec.machineTypes) &&
                (spec.zone == null || spec.zone == zone) &&
                (!preemptible || spec.preemptible)
    }
}

/**
 * Which machine types jobs that may use no cheap machines have asked for lately. Ordinary machines of
 * these types are left to such jobs: an array on the only ordinary machines made gangs wait or evict it.
 */
class GangCapacityReservation {
    private val untilMs = HashMap<String, Long>()
    private val gangs = HashMap<String, Job>()
    private var waiting: Map<String, List<Job>> = emptyMap()
    private var tasksWaiting: Map<String, Int> = emptyMap()

    /** Notes the jobs in the view; what they asked for stays reserved for [keepMs]. */
    fun note(jobs: Collection<Job>, machineTypes: Collection<MachineType>, nowMs: Long, keepMs: Long) {
        for (j in jobs) {
            if (j.spec.preemptible) continue
            for (f in machineTypes) if (JobAdmission.allowed(j.spec, f)) untilMs[f.label] = nowMs + keepMs
        }
        untilMs.values.removeIf { it < nowMs }
        for (j in jobs) {
            if (j.isGang &&
                (gangs[j.spec.team]?.submittedMs ?: 0L) < j.submittedMs
            ) {
                gangs[j.spec.team] = j
            }
        }
        gangs.values.removeIf { it.submittedMs < nowMs - keepMs }
        val parked = jobs.filter { it.isGang && !it.cancelled && it.placedCount == 0 && !it.isSuspect }
        waiting = parked.groupBy { it.spec.team }
        tasksWaiting = machineTypes.associate { f ->
            f.label to
                parked.filter { !it.spec.preemptible && JobAdmission.allowed(it.spec, f) }.sumOf { it.spec.taskCount }
        }
    }

    /** Whether any gang waits for ordinary machines. */
    val gangsWait: Boolean get() = tasksWaiting.values.any { it > 0 }

    /**
     * Whether waiting gangs will take every one of the [open] ordinary machines of this type that no gang is on.
     * Arrays that filled them as they came up were told to make way moments later: a thousand tasks in 20 s were
     * placed, stopped and placed again, and each gang began as much later.
     */
    fun spokenFor(machineType: String, open: Int): Boolean =
        (tasksWaiting[machineType] ?: 0).let { it > 0 && it >= open }

    /**
     * The part of a team's limit that its arrays leave free: what its waiting gangs need, or its latest
     * one's need for the next. Arrays that filled the limit made the team's gangs wait for minutes.
     */
    fun ofLimit(team: String): Resources = if (team in
        waiting
    ) {
        ofWaiting(team, Long.MAX_VALUE)
    } else {
        gangs[team]?.let { taskResources(it) } ?: Resources.NONE
    }

    /** The part that its waiting gangs submitted before [beforeMs] need. */
    fun ofWaiting(team: String, beforeMs: Long): Resources = waiting[team].orEmpty().fold(Resources.NONE) { sum, j ->
        if (j.submittedMs <
            beforeMs
        ) {
            sum + taskResources(j)
        } else {
            sum
        }
    }

    private fun taskResources(j: Job) = j.spec.taskResources * j.spec.taskCount

    /** Whether machines of this kind may be rented for tasks of [spec]. */
    fun rents(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        preemptible || !spec.preemptible || machineType !in untilMs

    /** Whether tasks of [spec] are on a machine of this kind only until it is needed, or returned. */
    fun guests(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 && !rents(spec, machineType, preemptible)

    /** Whether tasks of [spec] may fill such a machine while it is free: those that save are cheap to evict. */
    fun fills(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 || rents(spec, machineType, preemptible)
}

/**
 * Pure: how wide an array of tasks that are much shorter than a machine's boot is run. Each place serves many of them,
 * one after another: started all at once, 25,000 tasks of 4 s took every machine's free room, and rented as many again,
 * only to end together moments later.
 */
object ShortTaskPolicy {
    /** How many tasks of [spec] may stand at once. */
    fun width(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double): Int =
        width(spec, bootTimeS, heartbeatIntervalS, MIN_WIDTH)

    /** How many more places are worth renting for [pending] tasks, while [placed] others have theirs. */
    fun rented(spec: JobSpec, pending: Int, placed: Int, bootTimeS: Double, heartbeatIntervalS: Double): Int =
        minOf(pending, width(spec, bootTimeS, heartbeatIntervalS, MIN_RENTED) - placed).coerceAtLeast(0)

    private fun width(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double, least: Int): Int {
        if (spec.expectedRuntimeS >= bootTimeS * SHORT_SHARE) return Int.MAX_VALUE
        // A place is taken for the run, and for about a report before and after it.
        val share = (spec.expectedRuntimeS + heartbeatIntervalS) / (bootTimeS * HORIZON_BOOTS)
        return maxOf(least, Math.ceil(spec.taskCount * share).toInt())
    }

    /** Tasks shorter than this share of a boot are short. */
    private const val SHORT_SHARE = 0.5

    /** An array of short tasks is to be through in so many boot times. */
    private const val HORIZON_BOOTS = 3.0
    private const val MIN_WIDTH = 256
    private const val MIN_RENTED = 32
}

/**
 * Machines kept from much smaller tasks while a job that goes before them waits for room: each place that came free was
 * too small for it and was filled again at once, and jobs within their guarantee waited behind a guest's swarm.
 */
class HeadOfLineReservations(private val whole: (PlacementCandidate) -> Resources) {
    private val holders = HashMap<String, JobSpec>()

    /** Whether a task of [spec] may be put on [candidate]: it is not held, or only for tasks of about its size. */
    fun offered(spec: JobSpec, candidate: PlacementCandidate): Boolean =
        holders[candidate.machine.name]?.let { !muchSmaller(spec, it) } ?: true

    /** Keeps machines for [tasks] of [spec]: those that lack the least, as many as hold them once they are empty. */
    fun hold(spec: JobSpec, tasks: Int, candidates: List<PlacementCandidate>, suits: (PlacementCandidate) -> Boolean) {
        var left = tasks
        val fit = candidates.filter {
            it.machine.name !in holders &&
                TopologyConstraint.allowsMachineKind(
                    spec,
                    it.machine.machineType,
                    it.machine.zone,
                    it.machine.preemptible,
                ) &&
                suits(it)
        }
        for (s in fit.sortedWith(compareBy({ -it.free.gpus }, { -it.free.cpus }, { it.machine.name }))) {
            if (left <= 0) return
            holders[s.machine.name] = spec
            left -= whole(s).countFitting(spec.taskResources).coerceAtLeast(1)
        }
    }

    private fun muchSmaller(spec: JobSpec, than: JobSpec) = spec.taskResources.cpus * MUCH <= than.taskResources.cpus &&
        spec.taskResources.gpus * MUCH <= than.taskResources.gpus

    private companion object {
        const val MUCH = 4
    }
}

/** Pure: which of a part's machines take which tasks of an array. */
object ArrayPlacement {
    /** What one write holds: tasks, machines, and chunks of the job's records. */
    data class Limits(val tasks: Int, val hosts: Int = Int.MAX_VALUE, val chunks: Int = Int.MAX_VALUE)

    /**
     * Places pending tasks of [job], starting with task [from], within [limits] and in the chunks that are [open], and
     * shrinks the seats' room. Returns task numbers with their seats.
     */
    fun place(
        job: Job,
        candidates: List<PlacementCandidate>,
        rule: TopologyConstraint,
        from: Int,
        limits: Limits,
        open: (Int) -> Boolean = { true },
    ): Map<Int, PlacementCandidate> {
        if (limits.tasks <= 0) return emptyMap()
        val spec = job.spec
        val fit = candidates.filter {
            TopologyConstraint.allowsMachineKind(
                spec,
                it.machine.machineType,
                it.machine.zone,
                it.machine.preemptible,
            ) &&
                it.machine.name !in job.failedMachines &&
                it.free.canHold(spec.taskResources)
        }.sortedWith(order(spec)).take(limits.hosts)
        if (fit.isEmpty()) return emptyMap()
        val result = LinkedHashMap<Int, PlacementCandidate>()
        val chunks = HashSet<Int>()
        val tasks = job.pending(from) { n -> open(n) && (chunks.size < limits.chunks || n in chunks) }.iterator()
        for (candidate in fit) {
            while (result.size < limits.tasks &&
                candidate.places > 0 &&
                candidate.free.canHold(spec.taskResources) &&
                rule.allows(candidate.machine.zone)
            ) {
                if (!tasks.hasNext()) return result
                val task = tasks.next()
                chunks += task / job.chunkTasks
                result[task] = candidate
                candidate.free -= spec.taskResources
                candidate.places--
                rule.add(candidate.machine.zone)
            }
        }
        return result
    }

    /** Cheap kind first, then machines with the image, then the fuller ones so that others can empty. */
    private fun order(spec: JobSpec) = compareBy<PlacementCandidate> {
        if (spec.preemptible &&
            !it.machine.preemptible
        ) {
            1
        } else {
            0
        }
    }
        .thenBy { if (spec.image in it.images) 0 else 1 }
        .thenBy { it.free.gpus }
        .thenBy { it.free.cpus }
        .thenBy { it.machine.name }
}
