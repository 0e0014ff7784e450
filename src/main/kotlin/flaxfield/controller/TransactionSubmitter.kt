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
 * Sends this process's compare-and-swap transactions within its share of the store's rate limits. Tracks the keys with
 * a pending write, whose outcome the view does not show yet. Used only by the owner thread.
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

    /**
     * The keys with a pending write: null while its transaction is open, then the revision that the view must reach.
     */
    private val pending = HashMap<String, ULong?>()

    /** The keys of transactions that were rejected as too large, each with the time until which it is not written. */
    private val rejectedUntilNs = HashMap<String, Long>()

    /** Updates this process's share of the store's rate limits from its current role. */
    fun updateBudgetShare(leadership: Leadership) {
        val members = view.assignment?.members?.size ?: 0
        budget.setShare(RateShare.of(settings.size, members, leadership.mayAct(), leadership.isLeader()))
    }

    /** Whether a write of [key] is in flight or not yet visible in the view. */
    fun isWritePending(key: String): Boolean = pending.containsKey(key)

    /** Removes the pending writes whose outcome the view now shows. */
    fun releaseSettledKeys() {
        if (pending.isNotEmpty()) pending.values.removeIf { it != null && it <= view.revision }
    }

    /** Whether a transaction with [changes] changes for [cause] would be sent now. Call this before building one. */
    fun mayWrite(cause: WriteCause, changes: Int): Boolean = budget.allows(cause, changes, clock.monotonicNs())

    /**
     * Sends [transaction] if it is within the size limits and the budget allows it for [cause]; otherwise returns false
     * and sends nothing. The changed keys are pending until the view shows the outcome. [done] runs on the owner
     * thread.
     */
    fun submit(cause: WriteCause, transaction: Transaction, done: (TransactionOutcome) -> Unit = {}): Boolean {
        if (!mayWrite(cause, transaction.changes.size)) return false
        if (isRejected(transaction)) return false
        val violation = violation(transaction)
        if (violation != null) {
            reject(transaction, violation)
            return false
        }
        if (!budget.take(cause, transaction.changes.size, clock.monotonicNs())) return false
        send(cause, transaction, done)
        return true
    }

    /** Returns the limit of the state service that [transaction] exceeds; null if it is within all limits. */
    fun violation(transaction: Transaction): String? = TransactionSize.violation(transaction, settings.stateLimits)

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

    /**
     * Logs a transaction that is too large, which is a defect: its author must split it. Its keys are not written again
     * for a while, instead of being retried at once.
     */
    private fun reject(transaction: Transaction, violation: String) {
        stats.addOversized()
        log.error("event=transaction_rejected keys={} reason={}", transaction.changes.map { it.key }, violation)
        if (rejectedUntilNs.size > MAX_REJECTED_KEYS) rejectedUntilNs.clear()
        val untilNs = clock.monotonicNs() + (settings.workers.cancelS * NANOS_PER_SECOND).toLong()
        for (change in transaction.changes) rejectedUntilNs[change.key] = untilNs
    }

    private fun settle(transaction: Transaction, outcome: TransactionOutcome) {
        val knownRevision = when (outcome) {
            is TransactionOutcome.Committed -> outcome.revision
            is TransactionOutcome.Conflict -> outcome.revision
            // If it is still executed, its conditions tie it to the versions of this view, so deciding again is safe.
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

        /** Above this number, all rejected keys are removed to bound the memory. */
        const val MAX_REJECTED_KEYS = 4_000
    }
}
