package flaxfield.drain

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause

/** Writes operators' orders as records, or tells at once why that can't be done now. */
class OrderWriter(private val context: ControllerContext) {
    /**
     * Writes [value] under [key] if that still has [version]; [what] names it in refusals. [done] runs on the owner
     * thread.
     */
    fun write(what: String, key: String, version: ULong, value: Map<String, Any?>, done: (OrderResult<Unit>) -> Unit) {
        if (stateIsAway()) return done(OrderResult.Refused(OrderFault.UNAVAILABLE, "the state service does not answer"))
        if (context.transactions.isWritePending(
                key,
            )
        ) {
            return done(OrderResult.Refused(OrderFault.UNAVAILABLE, "$what is just being changed"))
        }
        val sent = context.transactions.submit(
            WriteCause.FLEET,
            Transaction(mapOf(key to version), listOf(Change.Put(key, value))),
        ) { outcome ->
            done(
                when (outcome) {
                    is TransactionOutcome.Committed -> OrderResult.Recorded(Unit, outcome.revision)
                    is TransactionOutcome.Conflict -> OrderResult.Refused(
                        OrderFault.UNAVAILABLE,
                        "$what has just changed",
                    )
                    is TransactionOutcome.Refused -> OrderResult.Refused(
                        OrderFault.UNAVAILABLE,
                        "the state service refuses changes",
                    )
                    is TransactionOutcome.Unknown -> OrderResult.Refused(
                        OrderFault.UNKNOWN,
                        "the state service does not answer",
                    )
                },
            )
        }
        if (!sent) done(OrderResult.Refused(OrderFault.UNAVAILABLE, "too many changes at once"))
    }

    private fun stateIsAway(): Boolean =
        context.storeContact.silenceNs() > context.settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND

    private companion object {
        /** The state service seems away after this share of a worker's lease without an answer. */
        const val AWAY_SHARE = 0.25
    }
}
