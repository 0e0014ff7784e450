package flaxfield.sim

/** Tracks the gangs of a simulation, whose members start and complete together across machines. */
class GangRegistry {
    private data class Attempt(val jobId: String, val attempt: Long)

    private val members = HashMap<Attempt, HashSet<SimTask>>()
    private val started = HashSet<Attempt>()
    private val completed = HashSet<Attempt>()

    private val SimTask.gang get() = Attempt(spec.id, attempt)

    /** Adds [task], which has pulled its image and waits for the other members of its gang. */
    fun join(task: SimTask) {
        members.getOrPut(task.gang) { HashSet() } += task
    }

    /** Removes [task], which has left its machine. */
    fun leave(task: SimTask) {
        members[task.gang]?.remove(task)
    }

    private fun memberCount(task: SimTask) = members[task.gang]?.size ?: 0

    /** Returns whether all members of the gang of [task] are on their machines. */
    fun isComplete(task: SimTask): Boolean = memberCount(task) == task.spec.taskCount

    /** Returns whether a member of the gang of [task] is on no machine. */
    fun lacksMembers(task: SimTask): Boolean = memberCount(task) < task.spec.taskCount

    /** Records that all members of the gang of [task] were on their machines at the same time. */
    fun markStarted(task: SimTask) {
        started += task.gang
    }

    fun hasStarted(task: SimTask): Boolean = task.gang in started

    /** Records that the gang of [task] has completed: when one member finishes its work, so have the others. */
    fun markCompleted(task: SimTask) {
        started += task.gang
        completed += task.gang
    }

    fun hasCompleted(task: SimTask): Boolean = task.gang in completed
}
