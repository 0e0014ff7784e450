package flaxfield.sim

/** The gangs on all machines of a simulation: their members start together and complete together, wherever they are. */
class GangRegistry {
    private data class Attempt(val jobId: String, val attempt: Long)

    private val members = HashMap<Attempt, HashSet<SimTask>>()
    private val started = HashSet<Attempt>()
    private val completed = HashSet<Attempt>()

    private val SimTask.gang get() = Attempt(spec.id, attempt)

    /** [task] has its image and waits for the others. */
    fun join(task: SimTask) {
        members.getOrPut(task.gang) { HashSet() } += task
    }

    /** [task] is no longer on its machine. */
    fun leave(task: SimTask) {
        members[task.gang]?.remove(task)
    }

    private fun memberCount(task: SimTask) = members[task.gang]?.size ?: 0

    /** Whether all members of the gang of [task] are on their machines. */
    fun isComplete(task: SimTask): Boolean = memberCount(task) == task.spec.taskCount

    /** Whether some member of the gang of [task] is on no machine. */
    fun lacksMembers(task: SimTask): Boolean = memberCount(task) < task.spec.taskCount

    /** The gang of [task] has had all its members at one time. */
    fun markStarted(task: SimTask) {
        started += task.gang
    }

    fun hasStarted(task: SimTask): Boolean = task.gang in started

    /** A member has done all its work, and so have the others. */
    fun markCompleted(task: SimTask) {
        started += task.gang
        completed += task.gang
    }

    fun hasCompleted(task: SimTask): Boolean = task.gang in completed
}
