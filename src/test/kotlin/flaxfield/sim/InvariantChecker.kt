package flaxfield.sim

import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec

/**
 * Checks the invariants at the end of PROTOCOL-flaxfield.md against the tasks on machines and the responses to users.
 *
 * @property gpuLimits the GPU limits by team
 * @property cancelS the setting `cancel_s`: the maximum time from the confirmation of a cancellation until the last
 * task of the job has stopped
 * @property leaseS the duration of a worker's lease
 */
class InvariantChecker(private val gpuLimits: Map<String, Double>, private val cancelS: Double, private val leaseS: Double) {
    /** The violations so far, each as the name of the invariant, a colon and details. */
    val violations = ArrayList<String>()
    private val specs = HashMap<String, JobSpec>()

    /** The machines of the tasks that are running now. */
    private val running = HashMap<TaskKey, SimMachine>()

    /** The phase last reported to the user of each job; a final phase is never replaced. */
    private val reportedPhases = HashMap<String, String>()
    private val cancelledAt = HashMap<String, Double>()
    private val completedTasks = HashMap<String, MutableSet<Int>>()
    private val cancelRequests = HashSet<String>()
    private val acceptedAt = HashMap<String, Double>()
    private val answeredAt = HashMap<String, Double>()
    private val firstStartAt = HashMap<String, Double>()
    private val waitingSince = HashMap<String, Double>()
    private val unprovisionedSince = HashMap<String, Double>()

    /** The number of task starts. */
    var starts = 0
        private set

    /** The ids of jobs whose tasks fail on every machine. */
    val failingJobs = HashSet<String>()

    /** The number of task starts of [failingJobs]. */
    var failingJobStarts = 0
        private set

    /** The remaining run time of tasks that saved a checkpoint when they were stopped. */
    val checkpointedRemainingS = HashMap<TaskKey, Double>()

    /** The number of leases that expired on workers with tasks. */
    var leasesExpired = 0

    /** The number of task starts that workers rejected for lack of resources. */
    var rejectedStarts = 0

    /** The observer of the tasks on machines, if any. */
    var watcher: TaskWatcher? = null

    /** Called with the job id when the last task of a job has completed. */
    var onComplete: (String) -> Unit = {}

    /** When the first job was accepted. */
    val firstAcceptedS: Double get() = acceptedAt.values.minOrNull() ?: Double.MAX_VALUE

    /** Returns the phase last reported to the user of job [id]; null before the first response. */
    fun reportedPhase(id: String): String? = reportedPhases[id]

    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Returns whether the user of job [id] has requested its cancellation. */
    fun isCancelRequested(id: String) = id in cancelRequests

    fun cancelRequested(id: String) {
        cancelRequests += id
    }

    /** Records that a task has pulled its image and occupies its machine from now on. */
    fun taskStarted(id: String, task: Int, machine: SimMachine, nowS: Double) {
        val spec = specs[id] ?: return violated("invented", "$id starts")
        val key = TaskKey(id, task)
        starts++
        if (id in failingJobs) failingJobStarts++
        firstStartAt.putIfAbsent(id, nowS)
        running[key]?.let {
            violated("ran_twice", "$id/$task starts on ${machine.machineName} while running on ${it.machineName}")
        }
        if (!mayRunOn(spec, key, machine)) violated("wrong_place", "$id/$task starts on $machine")
        running[key] = machine
        watcher?.onStarted(spec, task, machine)
        val used = if (spec.team in gpuLimits) gpusInUse(spec.team) else 0.0
        if (used > gpuLimit(spec.team)) violated("quota", "${spec.team} uses $used GPUs")
        cancelledAt[id]?.let { checkStartAfterCancellation(key, nowS - it) }
    }

    private fun mayRunOn(spec: JobSpec, key: TaskKey, machine: SimMachine): Boolean {
        if (!spec.allows(machine) || !spec.sameZone && !spec.spreadAcrossZones) return spec.allows(machine)
        val others = running.filter { it.key.jobId == key.jobId && it.key.index != key.index }.values
        val maxInZone = (spec.taskCount + 1) / 2
        return !(spec.sameZone && others.any { it.zone != machine.zone }) &&
            !(spec.spreadAcrossZones && others.count { it.zone == machine.zone } + 1 > maxInZone)
    }

    private fun JobSpec.allows(machine: SimMachine): Boolean = (machineTypes?.let { machine.machineType in it } ?: true) &&
        (zone ?: machine.zone) == machine.zone &&
        (preemptible || !machine.preemptible)

    private fun checkStartAfterCancellation(key: TaskKey, sinceS: Double) {
        val name = "${key.jobId}/${key.index}"
        if (sinceS > cancelS) violated("ran_cancelled", "$name starts")
        // A task launched before the cancellation starts after its image pull. Its worker may hang for up to a lease.
        if (sinceS > leaseS) violated("started_after_cancellation", "$name starts $sinceS s after its cancellation")
    }

    /** Checks that a worker receives no launch command long after the cancellation of the job was confirmed. */
    fun launchOrdered(id: String, task: Int, nowS: Double) {
        val sinceS = nowS - (cancelledAt[id] ?: return)
        if (sinceS > leaseS * MAX_VIEW_AGE_LEASE_FRACTION) {
            violated("launched_after_cancellation", "$id/$task launched $sinceS s after its cancellation")
        }
    }

    fun taskRemoved(id: String, task: Int, machineName: String) {
        val key = TaskKey(id, task)
        if (running[key]?.machineName == machineName) running.remove(key)
    }

    fun taskCompleted(id: String, task: Int) {
        val isNew = completedTasks.getOrPut(id) { HashSet() }.add(task)
        if (isNew && completedCount(id) == specs[id]?.taskCount) onComplete(id)
    }

    private fun completedCount(id: String): Int = completedTasks[id]?.size ?: 0

    /** Checks the status of the response to an invalid request. */
    fun invalidRequestAnswered(request: String, status: Int, allowed: Set<Int>) {
        if (status !in allowed) violated("wrong_status", "$request got $status")
    }

    /**
     * Checks a response to a user about job [id]: [phase] is null for 404. [before] is the phase reported to users when
     * the request was sent.
     */
    fun jobAnswered(id: String, phase: String?, nowS: Double, before: String? = reportedPhases[id]) {
        val spec = specs[id]
        if (spec == null) {
            if (phase != null) violated("invented", "$id is reported as $phase")
            return
        }
        acceptedAt.putIfAbsent(id, nowS)
        answeredAt[id] = nowS
        if (phase == null) {
            if (before != null) violated("forgotten", "$id gets 404")
            return
        }
        if (before in FINAL_PHASES && phase != before) violated("went_back", "$id was $before, is $phase")
        if (phase == ABORTED && id !in cancelRequests) violated("went_back", "$id is aborted without a cancellation request")
        if (phase == DONE && completedCount(id) < spec.taskCount) violated("not_done", "$id is reported as done before its tasks")
        if (phase == ABORTED) cancelledAt.putIfAbsent(id, nowS)
        // A response that was in flight when a final phase was reported does not revert that phase.
        if (reportedPhases[id] !in FINAL_PHASES) reportedPhases[id] = phase
    }

    /** Checks that no task of a cancelled job runs for longer than `cancel_s`; called periodically. */
    fun checkCancelled(nowS: Double) {
        for ((key, machine) in running) {
            val at = cancelledAt[key.jobId] ?: continue
            if (nowS - at <= cancelS) continue
            violated("ran_cancelled", "${key.jobId}/${key.index} runs on ${machine.machineName}")
        }
    }

    /**
     * Checks that no job waits for long while it fits healthy machines and the GPU limit of its team. Holds only
     * without faults.
     */
    fun checkWaiting(nowS: Double, machines: List<HealthyMachine>) = checkWaiting(nowS, machines, "waits", waitingSince, MAX_WAIT_S)

    /**
     * Checks that an accepted job runs: it begins within four minutes if it fits the healthy machines together with those
     * that the cloud could still rent, and the GPU limit of its team. Holds only without faults.
     */
    fun checkProvisioning(nowS: Double, healthy: List<HealthyMachine>, rentable: List<HealthyMachine>) =
        checkWaiting(nowS, healthy + rentable, "not_provisioned", unprovisionedSince, MAX_LARGEST_JOB_WAIT_S)

    private fun checkWaiting(
        nowS: Double,
        machines: List<HealthyMachine>,
        invariant: String,
        waitingSince: MutableMap<String, Double>,
        maxWaitS: Double,
    ) {
        val runningJobs = running.keys.mapTo(HashSet()) { it.jobId }
        for (id in acceptedAt.keys) {
            val spec = specs[id] ?: continue
            val isExempt = reportedPhases[id] in FINAL_PHASES || id in cancelRequests || id in failingJobs
            if (isExempt || id in runningJobs || !mayRun(spec, machines)) {
                waitingSince.remove(id)
                continue
            }
            val since = waitingSince.getOrPut(id) { nowS }
            if (nowS - since <= maxWaitS) continue
            violated(invariant, "$id of ${spec.team} waiting since t=$since s; team uses ${gpusInUse(spec.team)} GPUs")
            waitingSince[id] = nowS
        }
    }

    private fun mayRun(spec: JobSpec, machines: List<HealthyMachine>): Boolean {
        val minTasks = if (spec.jobKind == JobKind.GANG) spec.taskCount else 1
        if (gpusInUse(spec.team) + spec.taskResources.gpus * minTasks > gpuLimit(spec.team)) return false
        val allowed = machines.filter { spec.allows(it.machine) }
        val groups = if (spec.sameZone) allowed.groupBy { it.machine.zone }.values else listOf(allowed)
        return groups.any { group ->
            group.sumOf { it.free.countFitting(spec.taskResources).coerceAtMost(minTasks) } >= minTasks
        }
    }

    private fun gpusInUse(team: String): Double = running.keys.mapNotNull { specs[it.jobId] }
        .filter { it.team == team }
        .sumOf { it.taskResources.gpus }

    private fun gpuLimit(team: String) = gpuLimits[team] ?: Double.MAX_VALUE

    /** Checks that users get a response about each accepted, unfinished job in time; holds only without faults. */
    fun checkAnswered(nowS: Double) {
        for ((id, at) in answeredAt) {
            if (reportedPhases[id] in FINAL_PHASES || nowS - at <= MAX_ANSWER_GAP_S) continue
            violated("forgotten", "$id without a response since $at")
            answeredAt[id] = nowS
        }
    }

    /**
     * Checks at the end of a simulation that half of the jobs of each team and of each class are done. The same must
     * hold for the largest jobs of each class, which must also have started in time.
     */
    fun checkFairness() {
        val accepted = acceptedAt.keys.mapNotNull { specs[it] }.filter { it.id !in cancelRequests }
        for ((team, jobs) in accepted.groupBy { it.team }) checkHalfDone("team $team", jobs)
        for ((jobClass, jobs) in accepted.groupBy { it.jobClass }) {
            checkHalfDone("class $jobClass", jobs)
            val maxTasks = jobs.maxOf { it.taskCount }
            val largest = jobs.filter { it.taskCount == maxTasks }
            checkHalfDone("largest of $jobClass", largest)
            for (job in largest) checkStartedInTime(job.id)
        }
    }

    private fun checkHalfDone(group: String, jobs: List<JobSpec>) {
        val done = jobs.count { reportedPhases[it.id] == DONE }
        if (done * 2 < jobs.size) violated("starved_group", "$group: $done of ${jobs.size}")
    }

    private fun checkStartedInTime(id: String) {
        val waitedS = (firstStartAt[id] ?: Double.MAX_VALUE) - acceptedAt.getValue(id)
        if (waitedS > MAX_LARGEST_JOB_WAIT_S) violated("largest_started_late", "$id started after $waitedS s")
    }

    private fun violated(invariant: String, details: String) {
        violations += "$invariant: $details"
    }

    companion object {
        private const val DONE = "done"
        private const val ABORTED = "aborted"

        /** The wire names of the phases that a job never leaves. */
        val FINAL_PHASES = setOf(DONE, ABORTED)
        private const val MAX_ANSWER_GAP_S = 75.0
        private const val MAX_LARGEST_JOB_WAIT_S = 240.0
        private const val MAX_WAIT_S = 90.0

        /** Allows for a view that is up to one heartbeat interval old, and for the delivery of the launch command. */
        private const val MAX_VIEW_AGE_LEASE_FRACTION = 0.25
    }
}
