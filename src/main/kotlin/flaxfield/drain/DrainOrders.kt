package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.controller.ControllerContext
import flaxfield.store.TransactionSize
import org.slf4j.LoggerFactory

/**
 * Records operators' orders, on whichever controller they reach; the leader carries them out. Orders are idempotent: a
 * repeat under the same id gets the answer of the first one.
 */
class DrainOrders(private val context: ControllerContext) {
    private val writer = OrderWriter(context)

    /** Takes [order]; [done] is called on the owner thread. */
    fun take(order: DrainOrder, snapshot: FleetSnapshot, done: (OrderResult<DrainRecord>) -> Unit) {
        val known = snapshot.drains[order.id]
        when (val next = DrainOrderRules.next(order, known, snapshot, context.nowMs)) {
            is NextRecord.Keep -> done(OrderResult.Recorded(next.drain, snapshot.revision))
            is NextRecord.Refuse -> done(OrderResult.Refused(next.fault, next.message))
            is NextRecord.Write -> write(next.drain, done)
        }
    }

    private fun write(drain: DrainRecord, done: (OrderResult<DrainRecord>) -> Unit) {
        val value = DrainCodec.encode(drain)
        if (TransactionSize.jsonBytes(value) > context.settings.stateLimits.valueKb * BYTES_PER_KIB * SELECTOR_SHARE) {
            return done(OrderResult.Refused(OrderFault.INVALID, "the selector names too many machines"))
        }
        writer.write("drain ${drain.id}", FleetKeys.DRAIN + drain.id, drain.version, value) { result ->
            if (result is OrderResult.Recorded) {
                log.info("event=drain_ordered drain={} phase={} selector={}", drain.id, drain.phase, drain.selector)
            }
            done(result.recordedAs { drain.copy(version = it) })
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")

        /** The fraction of a value that a selector may fill; the rest is for the drain's progress. */
        const val SELECTOR_SHARE = 0.9
    }
}
