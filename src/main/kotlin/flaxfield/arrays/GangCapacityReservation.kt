package flaxfield.arrays

import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/**
 * Capacity that arrays leave to other jobs, in two forms: on-demand machines of types that jobs without spot capacity
 * asked for lately, and the part of a team's quota that its gangs need. Without it, arrays on the only on-demand
 * machines make gangs wait or evict them. Owned by the owner thread; [update] brings it up to date with the view.
 */
class GangCapacityReservation {
    /** Until when the on-demand machines of a type are reserved, by its label, in wall-clock milliseconds. */
    private val reservedUntilMs = HashMap<String, Long>()

    /** Each team's gang that was submitted last. */
    private val latestGangs = HashMap<String, Job>()
    private var waitingGangs: Map<String, List<Job>> = emptyMap()

    /** Tasks of waiting gangs that need on-demand machines, by the machine types that may run them. */
    private var waitingTasks: Map<String, Int> = emptyMap()

    /** Whether any gang waits for on-demand machines. */
    val hasWaitingGangs: Boolean get() = waitingTasks.values.any { it > 0 }

    /** Takes in the jobs of the view; what they asked for stays reserved for [keepMs]. */
    fun update(jobs: Collection<Job>, machineTypes: Collection<MachineType>, nowMs: Long, keepMs: Long) {
        reserveMachineTypes(jobs, machineTypes, nowMs, keepMs)
        updateLatestGangs(jobs, nowMs - keepMs)
        val waiting = jobs.filter { it.isGang && !it.cancelled && it.placedCount == 0 && !it.isCrashLooping }
        waitingGangs = waiting.groupBy { it.spec.team }
        waitingTasks = machineTypes.associate { type ->
            val gangs = waiting.filter { !it.spec.preemptible && JobAdmission.allowed(it.spec, type) }
            type.label to gangs.sumOf { it.spec.taskCount }
        }
    }

    private fun reserveMachineTypes(
        jobs: Collection<Job>,
        machineTypes: Collection<MachineType>,
        nowMs: Long,
        keepMs: Long,
    ) {
        for (job in jobs) {
            if (job.spec.preemptible) continue
            for (type in machineTypes) {
                if (JobAdmission.allowed(job.spec, type)) reservedUntilMs[type.label] = nowMs + keepMs
            }
        }
        reservedUntilMs.values.removeIf { it < nowMs }
    }

    private fun updateLatestGangs(jobs: Collection<Job>, forgetBeforeMs: Long) {
        for (job in jobs) {
            if (!job.isGang) continue
            val latestMs = latestGangs[job.spec.team]?.submittedMs ?: 0L
            if (latestMs < job.submittedMs) latestGangs[job.spec.team] = job
        }
        latestGangs.values.removeIf { it.submittedMs < forgetBeforeMs }
    }

    /**
     * Whether waiting gangs will take every one of the [openMachines] on-demand machines of this type that run no gang.
     * Arrays that backfill such machines are evicted moments later, and each gang starts as much later.
     */
    fun isClaimedByWaitingGangs(machineType: String, openMachines: Int): Boolean {
        val tasks = waitingTasks[machineType] ?: 0
        return tasks > 0 && tasks >= openMachines
    }

    /**
     * The part of the team's quota that its arrays leave free: what its waiting gangs need, else what its latest gang
     * needed, for the next one. Arrays that fill the quota would keep the team's gangs waiting.
     */
    fun reservedQuota(team: String): Resources {
        if (team in waitingGangs) return waitingGangQuota(team, Long.MAX_VALUE)
        return latestGangs[team]?.let(::totalResources) ?: Resources.NONE
    }

    /** What the team's waiting gangs submitted before [beforeMs] need in all. */
    fun waitingGangQuota(team: String, beforeMs: Long): Resources =
        waitingGangs[team].orEmpty().fold(Resources.NONE) { sum, gang ->
            if (gang.submittedMs < beforeMs) sum + totalResources(gang) else sum
        }

    private fun totalResources(gang: Job) = gang.spec.taskResources * gang.spec.taskCount

    /**
     * Whether machines of this kind are open to tasks of [spec] without reserve: spot machines always are, on-demand
     * machines of a reserved type only to jobs that can use no other.
     */
    fun isUnreservedFor(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        preemptible || !spec.preemptible || machineType !in reservedUntilMs

    /** Whether tasks of [spec] are backfill on a machine of this kind: there only until it is needed or returned. */
    fun isBackfill(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 && !isUnreservedFor(spec, machineType, preemptible)

    /** Whether tasks of [spec] may run on such a machine while it is free: with checkpoints they are cheap to evict. */
    fun mayBackfill(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 || isUnreservedFor(spec, machineType, preemptible)
}
