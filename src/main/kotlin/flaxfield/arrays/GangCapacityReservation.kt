package flaxfield.arrays

import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/**
 * Reserves capacity that arrays must not use, in two forms. On-demand machines are reserved by machine type for jobs
 * that can't run on spot machines and recently requested such a type. A part of each team's quota is reserved for its
 * gangs. Without reservations, arrays occupy the only on-demand machines, and gangs must wait or evict them. Confined
 * to the owner thread; [update] applies the current view.
 */
class GangCapacityReservation {
    /** The expiry of the reservation of on-demand machines, by machine type label, in wall-clock milliseconds. */
    private val reservedUntilMs = HashMap<String, Long>()

    /** The gang that each team submitted last, by team name. */
    private val latestGangs = HashMap<String, Job>()
    private var waitingGangs: Map<String, List<Job>> = emptyMap()

    /** The number of tasks of waiting gangs that need on-demand machines, by label of each type that may run them. */
    private var waitingTasks: Map<String, Int> = emptyMap()

    /** Whether any gang is waiting for on-demand machines. */
    val hasWaitingGangs: Boolean get() = waitingTasks.values.any { it > 0 }

    /** Applies the jobs of the view. The capacity that they request stays reserved for [retentionMs]. */
    fun update(jobs: Collection<Job>, machineTypes: Collection<MachineType>, nowMs: Long, retentionMs: Long) {
        reserveMachineTypes(jobs, machineTypes, nowMs, retentionMs)
        updateLatestGangs(jobs, nowMs - retentionMs)
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
        retentionMs: Long,
    ) {
        for (job in jobs) {
            if (job.spec.preemptible) continue
            for (type in machineTypes) {
                if (JobAdmission.allowed(job.spec, type)) reservedUntilMs[type.label] = nowMs + retentionMs
            }
        }
        reservedUntilMs.values.removeIf { it < nowMs }
    }

    private fun updateLatestGangs(jobs: Collection<Job>, expireBeforeMs: Long) {
        for (job in jobs) {
            if (!job.isGang) continue
            val latestMs = latestGangs[job.spec.team]?.submittedMs ?: 0L
            if (latestMs < job.submittedMs) latestGangs[job.spec.team] = job
        }
        latestGangs.values.removeIf { it.submittedMs < expireBeforeMs }
    }

    /**
     * Whether waiting gangs will take all [openMachines], the on-demand machines of this type that run no gang. Arrays
     * that backfill such machines are soon evicted again, and the evictions delay the gangs.
     */
    fun isClaimedByWaitingGangs(machineType: String, openMachines: Int): Boolean {
        val tasks = waitingTasks[machineType] ?: 0
        return tasks > 0 && tasks >= openMachines
    }

    /**
     * Returns the part of the team's quota that is reserved for its gangs: the demand of its waiting gangs, or else
     * that of its latest gang, in anticipation of the next one. Otherwise its arrays could use up the quota and block
     * its gangs.
     */
    fun reservedQuota(team: String): Resources {
        if (team in waitingGangs) return waitingGangQuota(team, Long.MAX_VALUE)
        return latestGangs[team]?.let(::totalResources) ?: Resources.NONE
    }

    /** Returns the total demand of the team's waiting gangs that were submitted before [beforeMs]. */
    fun waitingGangQuota(team: String, beforeMs: Long): Resources =
        waitingGangs[team].orEmpty().fold(Resources.NONE) { sum, gang ->
            if (gang.submittedMs < beforeMs) sum + totalResources(gang) else sum
        }

    private fun totalResources(gang: Job) = gang.spec.taskResources * gang.spec.taskCount

    /**
     * Whether tasks of [spec] may use machines of this type and kind despite the reservations. They may always use spot
     * machines, and on-demand machines of a reserved type only if they can't run on spot machines.
     */
    fun isUnreservedFor(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        preemptible || !spec.preemptible || machineType !in reservedUntilMs

    /** Whether tasks of [spec] are backfill on such a machine: they are evicted when it is needed or returned. */
    fun isBackfill(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 && !isUnreservedFor(spec, machineType, preemptible)

    /** Whether tasks of [spec] may backfill such a machine. Tasks with checkpoints may, as they are cheap to evict. */
    fun mayBackfill(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean =
        spec.checkpointIntervalS > 0.0 || isUnreservedFor(spec, machineType, preemptible)
}
