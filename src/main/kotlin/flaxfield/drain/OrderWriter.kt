package flaxfield.drain

import flaxfield.NANOS_PER_SECOND
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Outcome
import flaxfield.store.Txn

/** Writes operators' orders as records, or tells at once why that can't be done now. */
class OrderWriter(private val context: NodeContext) {
    /**
     * Writes [value] under [key] if that still has [version]; [what] names it in refusals. [done] runs on the owner
     * thread.
     */
    fun write(what: String, key: String, version: ULong, value: Map<String, Any?>, done: (OrderResult<Unit>) -> Unit) {
        if (stateIsAway()) return done(OrderResult.Refused(OrderFault.UNAVAILABLE, "the state service does not answer"))
        if (context.isBusy(key)) return done(OrderResult.Refused(OrderFault.UNAVAILABLE, "$what is just being changed"))
        val sent = context.commit(Cause.FLEET, Txn(mapOf(key to version), listOf(Change.Put(key, value)))) { outcome ->
            done(
                when (outcome) {
                    is Outcome.Committed -> OrderResult.Recorded(Unit, outcome.revision)
                    is Outcome.Conflict -> OrderResult.Refused(OrderFault.UNAVAILABLE, "$what has just changed")
                    is Outcome.Refused -> OrderResult.Refused(
                        OrderFault.UNAVAILABLE,
                        "the state service refuses changes",
                    )
                    is Outcome.Unknown -> OrderResult.Refused(OrderFault.UNKNOWN, "the state service does not answer")
                },
            )
        }
        if (!sent) done(OrderResult.Refused(OrderFault.UNAVAILABLE, "too many changes at once"))
    }

    private fun stateIsAway(): Boolean =
        context.nowNs - context.stateOkNs > context.settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND

    private companion object {
        /** The state service seems away after this share of a worker's lease without an answer. */
        const val AWAY_SHARE = 0.25
    }
}
