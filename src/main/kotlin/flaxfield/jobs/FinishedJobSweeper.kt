package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause

/**
 * Removes the remaining live records of finished jobs. It closes jobs that are finished but still live, for example
 * when a cancellation coincides with the completion of the last task. It deletes chunks that did not fit into the
 * transaction that closed their job. Only the leader runs it.
 */
internal class FinishedJobSweeper(private val context: ControllerContext) {
    private val maxDeletionsPerTransaction = context.settings.stateLimits.txnOps / 2

    /** Submits as many transactions as the write budget allows. */
    fun run() {
        for (job in context.view.jobs.values) {
            if (!job.isFinished || context.transactions.isWritePending(StoreKeys.JOB + job.id)) continue
            val transaction = JobTransactions.close(context, job, aborted = job.cancelled, fenced = true)
            if (!context.transactions.submit(WriteCause.FINISH, transaction)) return
        }
        deleteOrphanedChunks()
    }

    private fun deleteOrphanedChunks() {
        val orphanedChunks = context.view.orphanedChunks.keys.filter {
            !context.transactions.isWritePending(StoreKeys.JOB_CHUNK + it)
        }
        if (orphanedChunks.isEmpty()) return
        val deletions = orphanedChunks.take(maxDeletionsPerTransaction).map { Change.Delete(StoreKeys.JOB_CHUNK + it) }
        context.transactions.submit(WriteCause.ROOM, Transaction(JobTransactions.assignmentFence(context), deletions))
    }
}
