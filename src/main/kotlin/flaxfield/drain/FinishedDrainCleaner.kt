package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.WriteCause

/** Deletes the records of the oldest finished drains. Operators can still look up the latest ones. */
internal class FinishedDrainCleaner(private val context: ControllerContext) {
    /** Deletes the records in [snapshot] beyond the limit, as many as one transaction takes. */
    fun deleteOldest(snapshot: FleetSnapshot) {
        val finished = snapshot.drains.values.filter { it.phase.isFinished }
        if (finished.size <= MAX_FINISHED_DRAINS) return
        val excess = minOf(finished.size - MAX_FINISHED_DRAINS, context.settings.stateLimits.txnOps)
        val oldest = finished.sortedBy { it.orderedMs }.take(excess)
            .filter { !context.transactions.isWritePending(FleetKeys.DRAIN + it.id) }
        if (oldest.isEmpty()) return
        val versions = oldest.associate { FleetKeys.DRAIN + it.id to it.version }
        val transaction = Transaction(
            JobTransactions.assignmentFence(context) + versions,
            oldest.map { Change.Delete(FleetKeys.DRAIN + it.id) },
        )
        context.transactions.submit(WriteCause.ROOM, transaction)
    }

    private companion object {
        /** Covers several months of machine replacements. */
        const val MAX_FINISHED_DRAINS = 100
    }
}
