package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/**
 * Turn-taking between shard owners. All of them may place the same job, and of concurrent writes of one record all but
 * one fail: so they start with a new job one after another, in an order that depends on the job, and with different
 * tasks of it. Owned by the owner thread.
 */
class ShardTurns(private val context: ControllerContext) {
    /** When a waiting job was first seen to wait, by id. */
    private val waitingSinceNs = HashMap<String, Long>()

    /** Forgets the jobs that are not among [ids]. */
    fun retain(ids: Set<String>) {
        waitingSinceNs.keys.retainAll(ids)
    }

    /** Whether this controller may place [job] now; asks for a decision at the time when it may. */
    fun isOurTurn(job: Job): Boolean {
        val sinceNs = waitingSinceNs.getOrPut(job.id) { context.nowNs }
        val members = sortedMembers().orEmpty()
        val index = members.indexOf(context.self.name)
        val rank = Math.floorMod(index + job.id.hashCode(), members.size.coerceAtLeast(1))
        val waitS = context.settings.workers.heartbeatIntervalS * TURN_HEARTBEATS * rank
        if (context.nowNs - sinceNs >= waitS * NANOS_PER_SECOND) return true
        context.decisions.requestAt(sinceNs + (waitS * NANOS_PER_SECOND).toLong())
        return false
    }

    /** The task index of [job] that this controller starts with. */
    fun firstTask(job: Job): Int {
        val members = sortedMembers() ?: return 0
        val index = members.indexOf(context.self.name).coerceAtLeast(0)
        return (job.spec.taskCount.toLong() * index / members.size.coerceAtLeast(1)).toInt()
    }

    private fun sortedMembers(): List<String>? = context.view.assignment?.members?.map { it.name }?.sorted()

    private companion object {
        /** The time between two turns, in heartbeat intervals: a write, and its arrival in the others' views. */
        const val TURN_HEARTBEATS = 0.06
    }
}
