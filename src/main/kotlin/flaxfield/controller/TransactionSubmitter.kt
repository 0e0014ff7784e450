package flaxfield.controller

import flaxfield.NANOS_PER_SECOND
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.store.RateShare
import flaxfield.store.StoreBudget
import flaxfield.store.StoreClient
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Sends this process's compare-and-swap transactions within its share of the store's rate limits, and knows which keys
 * have a write whose outcome the view does not show yet. Owned by the owner thread.
 */
class TransactionSubmitter(
    private val settings: Settings,
    private val store: StoreClient,
    private val view: ClusterView,
    private val clock: Clock,
    private val contact: StoreContact,
    private val decisions: DecisionTimer,
    private val stats: ControllerStats,
    private val post: (() -> Unit) -> Unit,
) {
    /** This process's share of the store's request and write rates. */
    val budget = StoreBudget(settings.stateLimits, settings.size)

    /** Keys that a transaction of this process changes: null while it is open, else the revision to wait for. */
    private val pending = HashMap<String, ULong?>()

    /** Keys whose last value was too large to write, and until when they are left alone. */
    private val rejectedUntilNs = HashMap<String, Long>()

    /** Takes the share of the store's rate limits that this process's role gives it now. */
    fun updateBudgetShare(leadership: Leadership) {
        val members = view.assignment?.members?.size ?: 0
        budget.setShare(RateShare.of(settings.size, members, leadership.mayAct(), leadership.isLeader()))
    }

    /** Whether a write of [key] is on its way or not yet in the view. */
    fun isWritePending(key: String): Boolean = pending.containsKey(key)

    /** Drops the marks of writes that the view has caught up with. */
    fun releaseSettledKeys() {
        if (pending.isNotEmpty()) pending.values.removeIf { it != null && it <= view.revision }
    }

    /** Whether a transaction of [changes] changes for [cause] would be sent now: to be asked before it is built. */
    fun mayWrite(cause: WriteCause, changes: Int): Boolean = budget.may(cause, changes, clock.monotonicNs())

    /**
     * Sends a transaction if the budget allows one for [cause]; false, with nothing done, if not. The changed keys are
     * pending until the view shows the outcome. [done] runs on the owner thread.
     */
    fun submit(cause: WriteCause, transaction: Transaction, done: (TransactionOutcome) -> Unit = {}): Boolean {
        if (!mayWrite(cause, transaction.changes.size)) return false
        if (isRejected(transaction)) return false
        val fault = TransactionSize.fault(transaction, settings.stateLimits)
        if (fault != null) {
            reject(transaction, fault)
            return false
        }
        if (!budget.take(cause, transaction.changes.size, clock.monotonicNs())) return false
        send(cause, transaction, done)
        return true
    }

    private fun send(cause: WriteCause, transaction: Transaction, done: (TransactionOutcome) -> Unit) {
        stats.addChanges(cause, transaction.changes.size)
        for (change in transaction.changes) pending[change.key] = null
        store.txn(transaction) { outcome ->
            post {
                settle(transaction, outcome)
                done(outcome)
            }
        }
    }

    private fun isRejected(transaction: Transaction): Boolean = rejectedUntilNs.isNotEmpty() &&
        transaction.changes.any { (rejectedUntilNs[it.key] ?: 0L) > clock.monotonicNs() }

    /** A defect: whoever writes what is too large must split it. Its keys are left alone for a while, not retried. */
    private fun reject(transaction: Transaction, fault: String) {
        log.error("event=transaction_rejected keys={} reason={}", transaction.changes.map { it.key }, fault)
        if (rejectedUntilNs.size > MAX_REJECTED) rejectedUntilNs.clear()
        val untilNs = clock.monotonicNs() + (settings.workers.cancelS * NANOS_PER_SECOND).toLong()
        for (change in transaction.changes) rejectedUntilNs[change.key] = untilNs
    }

    private fun settle(transaction: Transaction, outcome: TransactionOutcome) {
        val knownRevision = when (outcome) {
            is TransactionOutcome.Committed -> outcome.revision
            is TransactionOutcome.Conflict -> outcome.revision
            // Whatever comes of it, its conditions hold it to the versions of this view: deciding again is safe.
            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> null
        }
        stats.addOutcome(outcome)
        if (knownRevision != null) contact.noteResponse()
        for (change in transaction.changes) {
            if (knownRevision == null || knownRevision <= view.revision) {
                pending.remove(change.key)
            } else {
                pending[change.key] = knownRevision
            }
        }
        decisions.request()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /** Rejected keys are forgotten, all at once, at this many. */
        const val MAX_REJECTED = 4_000
    }
}
