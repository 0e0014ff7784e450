package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause

/** Writes the records of operators' orders, or tells at once why that can't be done now. */
class OrderWriter(private val context: ControllerContext) {
    /**
     * Writes [value] under [key] if that still has [version]; [subject] names it in refusals. [done] runs on the owner
     * thread.
     */
    fun write(
        subject: String,
        key: String,
        version: ULong,
        value: Map<String, Any?>,
        done: (OrderResult<Unit>) -> Unit,
    ) {
        if (context.storeContact.isUnreachable(
                context.settings.workers.leaseS,
            )
        ) {
            return done(unavailable("the state service does not answer"))
        }
        if (context.transactions.isWritePending(key)) return done(unavailable("$subject is just being changed"))
        val transaction = Transaction(mapOf(key to version), listOf(Change.Put(key, value)))
        val sent = context.transactions.submit(WriteCause.FLEET, transaction) { outcome ->
            done(result(subject, outcome))
        }
        if (!sent) done(unavailable("too many changes at once"))
    }

    private fun result(subject: String, outcome: TransactionOutcome): OrderResult<Unit> = when (outcome) {
        is TransactionOutcome.Committed -> OrderResult.Recorded(Unit, outcome.revision)
        is TransactionOutcome.Conflict -> unavailable("$subject has just changed")
        is TransactionOutcome.Refused -> unavailable("the state service refuses changes")
        is TransactionOutcome.Unknown -> OrderResult.Refused(OrderFault.UNKNOWN, "the state service does not answer")
    }

    private fun unavailable(message: String) = OrderResult.Refused(OrderFault.UNAVAILABLE, message)
}
