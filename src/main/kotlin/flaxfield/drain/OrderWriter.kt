package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause

/** Writes the records of operators' orders. */
class OrderWriter(private val context: ControllerContext) {
    /**
     * Writes [value] under [key] if the key still has [version]. Refuses at once if the state service is unreachable,
     * the key has a pending write or too many writes are pending. [subject] names the record in error messages;
     * [done] is called on the owner thread.
     */
    fun write(
        subject: String,
        key: String,
        version: ULong,
        value: Map<String, Any?>,
        done: (OrderResult<Unit>) -> Unit,
    ) {
        if (context.storeContact.isUnreachable(context.settings.workers.leaseS)) {
            return done(unavailable("the state service does not answer"))
        }
        if (context.transactions.isWritePending(key)) {
            return done(unavailable("another change of $subject is in progress"))
        }
        val transaction = Transaction(mapOf(key to version), listOf(Change.Put(key, value)))
        val sent = context.transactions.submit(WriteCause.FLEET, transaction) { outcome ->
            done(result(subject, outcome))
        }
        if (!sent) done(unavailable("too many writes are pending"))
    }

    private fun result(subject: String, outcome: TransactionOutcome): OrderResult<Unit> = when (outcome) {
        is TransactionOutcome.Committed -> OrderResult.Recorded(Unit, outcome.revision)
        is TransactionOutcome.Conflict -> unavailable("$subject was changed concurrently")
        is TransactionOutcome.Refused -> unavailable("the state service rejected the write")
        is TransactionOutcome.Unknown -> OrderResult.Refused(
            OrderErrorCode.UNKNOWN,
            "the state service does not answer",
        )
    }

    private fun unavailable(message: String) = OrderResult.Refused(OrderErrorCode.UNAVAILABLE, message)
}
