package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/**
 * Staggers the placements of one job by several shard owners. With optimistic concurrency only one of several
 * concurrent writes of a record commits. So shard owners start to place a new job one after another, in an order that
 * depends on the job, and each starts with a different task. Confined to the owner thread.
 */
class ShardTurns(private val context: ControllerContext) {
    /** The monotonic time at which a job was first seen waiting, by job id. */
    private val waitingSinceNs = HashMap<String, Long>()

    /** Removes the jobs that are not among [ids]. */
    fun retain(ids: Set<String>) {
        waitingSinceNs.keys.retainAll(ids)
    }

    /** Whether this controller may place [job] now. If not, requests a scheduling cycle for the time when it may. */
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

    /** Returns the index of the task of [job] that this controller places first. */
    fun firstTask(job: Job): Int {
        val members = sortedMembers() ?: return 0
        val index = members.indexOf(context.self.name).coerceAtLeast(0)
        return (job.spec.taskCount.toLong() * index / members.size.coerceAtLeast(1)).toInt()
    }

    private fun sortedMembers(): List<String>? = context.view.assignment?.members?.map { it.name }?.sorted()

    private companion object {
        /** The time between two turns, in heartbeat intervals. Covers a write and its arrival in the other views. */
        const val TURN_HEARTBEATS = 0.06
    }
}
