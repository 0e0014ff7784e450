package flaxfield.sim

import flaxfield.codec.FieldMap
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/** State that the tasks of all simulated workers share. */
class SimWorkload(val invariants: InvariantChecker, val specs: Map<String, JobSpec>, val gangs: GangRegistry)

/**
 * Runs the tasks of one simulated worker in simulated time. Reports their lifecycle to the invariant checker of
 * [workload], and calls [onChange] for each change that the next heartbeat should report.
 */
class SimTaskRunner(
    private val loop: SimLoop,
    private val machine: SimMachine,
    private val resources: Resources,
    private val workload: SimWorkload,
    private val gangWaitS: Double,
    private val onChange: () -> Unit,
) {
    private val invariants = workload.invariants
    private val gangs = workload.gangs
    private val tasks = LinkedHashMap<AttemptKey, SimTask>()

    /** Whether every task that starts on this worker fails. */
    var failsTasks = false

    /** The duration of an image pull, after which the image stays on the machine; null for a random one at each start. */
    var pullDurationS: Double? = null
    private val images = HashSet<String>()

    val hasLiveTasks: Boolean get() = tasks.values.any { it.isLive }

    val freeResources: Resources get() = freeWith(tasks.values.filter { it.isLive })

    private fun freeWith(live: List<SimTask>): Resources = live.fold(resources) { free, task -> free - task.spec.taskResources }

    /** Returns the tasks in the wire format of a heartbeat, ordered by name: the protocol specifies no order. */
    fun report(): List<Map<String, Any?>> = tasks.values.sortedBy { JobCodec.taskName(it.spec.id, it.index) }.map {
        mapOf(
            "shard" to JobCodec.taskName(it.spec.id, it.index),
            "try" to it.attempt,
            "phase" to it.state.wireName,
            "cause" to it.endReason?.wireName,
        )
    }

    /** Executes the commands of a controller's message. */
    fun execute(message: FieldMap) {
        for (order in message.mapList("orders")) {
            val (id, index) = JobCodec.parseTaskId(order.requireText("shard")) ?: continue
            val key = AttemptKey(TaskKey(id, index), order.requireUnsigned("try").toLong())
            when (order.text("verb")) {
                "launch" -> launch(key)
                "halt" -> tasks[key]?.let { halt(it, order.requireNumber("wind_down_s")) }
                "clear" -> if (tasks[key]?.isLive == false) tasks.remove(key)
            }
        }
    }

    /** Terminates all tasks at once; progress since their last checkpoints is lost. */
    fun terminateAll() {
        for (task in tasks.values.toList()) leaveMachine(task)
        tasks.clear()
    }

    /** Advances every task by [stepS] of simulated time. */
    fun advance(stepS: Double) {
        for (task in tasks.values.toList()) advance(task, stepS)
    }

    private fun advance(task: SimTask, stepS: Double) {
        task.remainingS -= stepS
        when (task.state) {
            SimTaskState.PULLING -> if (task.remainingS <= 0) start(task)
            SimTaskState.WAITING_FOR_GANG -> waitForGang(task)
            SimTaskState.RUNNING -> run(task)
            SimTaskState.CHECKPOINTING -> if (task.remainingS <= 0) end(task, SimTaskEndReason.STOPPED)
            SimTaskState.ENDED -> Unit
        }
    }

    private fun start(task: SimTask) {
        images += task.spec.image
        task.fails = failsTasks || task.spec.id in invariants.failingJobs
        invariants.taskStarted(task.spec.id, task.index, machine, loop.nowS)
        onChange()
        // Checkpoints are stored off the machine, so the task resumes from one on any machine.
        task.remainingS = if (task.fails) FAILURE_S else invariants.checkpointedRemainingS[task.key] ?: task.spec.expectedRuntimeS
        if (task.spec.jobKind == JobKind.GANG) {
            task.state = SimTaskState.WAITING_FOR_GANG
            gangs.join(task)
            if (!task.fails) task.remainingS = gangWaitS
        } else {
            task.state = SimTaskState.RUNNING
            invariants.watcher?.onRunning(task.spec, task.index)
        }
    }

    private fun waitForGang(task: SimTask) {
        when {
            task.fails && task.remainingS <= 0 -> end(task, SimTaskEndReason.ERROR)
            gangs.isComplete(task) -> {
                task.state = SimTaskState.RUNNING
                invariants.watcher?.onRunning(task.spec, task.index)
                task.remainingS = task.spec.expectedRuntimeS
                gangs.markStarted(task)
            }
            gangs.hasStarted(task) -> end(task, SimTaskEndReason.GANG_MEMBER_LOST)
            task.remainingS <= 0 -> end(task, SimTaskEndReason.GANG_INCOMPLETE)
        }
    }

    private fun run(task: SimTask) {
        val isGang = task.spec.jobKind == JobKind.GANG
        when {
            isGang && gangs.lacksMembers(task) && task.remainingS > 0 ->
                if (gangs.hasCompleted(task)) complete(task) else end(task, SimTaskEndReason.GANG_MEMBER_LOST)
            task.remainingS <= 0 -> if (task.fails) end(task, SimTaskEndReason.ERROR) else complete(task)
        }
    }

    private fun complete(task: SimTask) {
        invariants.watcher?.onCompleted(task.spec, task.index)
        if (task.spec.jobKind == JobKind.GANG) {
            gangs.markCompleted(task)
            for (index in 0 until task.spec.taskCount) invariants.taskCompleted(task.spec.id, index)
        } else {
            invariants.taskCompleted(task.spec.id, task.index)
        }
        end(task, SimTaskEndReason.DONE)
    }

    private fun end(task: SimTask, reason: SimTaskEndReason) {
        leaveMachine(task)
        task.state = SimTaskState.ENDED
        task.endReason = reason
        onChange()
    }

    private fun leaveMachine(task: SimTask) {
        if (task.isLive) invariants.watcher?.onRemoved(task.spec, task.index)
        if (task.isLive && task.state != SimTaskState.PULLING) {
            invariants.taskRemoved(task.spec.id, task.index, machine.machineName)
        }
        gangs.leave(task)
    }

    private fun launch(key: AttemptKey) {
        if (key in tasks) return
        invariants.launchOrdered(key.task.jobId, key.task.index, loop.nowS)
        val spec = workload.specs.getValue(key.task.jobId)
        val task = SimTask(spec, key.task.index, key.attempt)
        val live = tasks.values.filter { it.isLive }
        tasks[key] = task
        onChange()
        task.remainingS = pullS(spec.image)
        if (live.any { it.key == task.key }) {
            reject(task, SimTaskEndReason.ALREADY_RUNNING)
        } else if (!freeWith(live).canHold(spec.taskResources)) {
            reject(task, SimTaskEndReason.NO_RESOURCES)
            invariants.rejectedStarts++
        }
    }

    private fun pullS(image: String): Double = when {
        pullDurationS != null && image in images -> 0.0
        else -> pullDurationS ?: loop.random.nextDouble(MIN_PULL_S, MAX_PULL_S)
    }

    private fun reject(task: SimTask, reason: SimTaskEndReason) {
        task.state = SimTaskState.ENDED
        task.endReason = reason
    }

    private fun halt(task: SimTask, gracePeriodS: Double) {
        if (!task.isLive) return
        val spec = task.spec
        invariants.watcher?.onHalting(spec, task.index, gracePeriodS)
        val canCheckpoint = spec.checkpointIntervalS > 0 && gracePeriodS >= spec.checkpointDurationS
        if (task.state == SimTaskState.RUNNING && canCheckpoint) {
            if (spec.jobKind != JobKind.GANG) invariants.checkpointedRemainingS[task.key] = task.remainingS
            task.state = SimTaskState.CHECKPOINTING
            task.remainingS = spec.checkpointDurationS
        } else if (task.state != SimTaskState.CHECKPOINTING || gracePeriodS == 0.0) {
            end(task, SimTaskEndReason.STOPPED)
        }
    }

    private companion object {
        /** How long a failing task runs. */
        const val FAILURE_S = 0.5
        const val MIN_PULL_S = 0.5
        const val MAX_PULL_S = 2.0
    }
}
