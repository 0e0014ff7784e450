package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause

/**
 * Removes what finished jobs leave in the live keys: jobs that are over and not yet closed, as when a cancellation
 * meets the end of the last task, and chunks that did not fit the transaction that closed their job. Only the leader
 * runs it.
 */
internal class FinishedJobSweeper(private val context: ControllerContext) {
    private val maxChunksAtOnce = context.settings.stateLimits.txnOps / 2

    /** Submits what the write budget allows. */
    fun run() {
        for (job in context.view.jobs.values) {
            if (!job.isOver || context.transactions.isWritePending(StoreKeys.JOB + job.id)) continue
            val transaction = JobTransactions.close(context, job, aborted = job.cancelled, fenced = true)
            if (!context.transactions.submit(WriteCause.FINISH, transaction)) return
        }
        deleteStrayChunks()
    }

    private fun deleteStrayChunks() {
        val strays = context.view.orphanedChunks.keys.filter {
            !context.transactions.isWritePending(StoreKeys.JOB_CHUNK + it)
        }
        if (strays.isEmpty()) return
        val deletions = strays.take(maxChunksAtOnce).map { Change.Delete(StoreKeys.JOB_CHUNK + it) }
        context.transactions.submit(WriteCause.ROOM, Transaction(JobTransactions.assignmentFence(context), deletions))
    }
}
