package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.controller.ControllerContext
import flaxfield.store.TransactionSize
import org.slf4j.LoggerFactory

/**
 * Records operators' orders on any controller; the leader carries them out. Orders are idempotent: a retry with the
 * same id gets the same result as the first submission.
 */
class DrainOrders(private val context: ControllerContext) {
    private val writer = OrderWriter(context)

    /** Records [order]; [done] is called on the owner thread. */
    fun submit(order: DrainOrder, snapshot: FleetSnapshot, done: (OrderResult<DrainRecord>) -> Unit) {
        val existing = snapshot.drains[order.id]
        when (val effect = DrainOrderRules.effect(order, existing, snapshot, context.nowMs)) {
            is OrderEffect.Unchanged -> done(OrderResult.Recorded(effect.drain, snapshot.revision))
            is OrderEffect.Refuse -> done(OrderResult.Refused(effect.code, effect.message))
            is OrderEffect.Write -> write(effect.drain, done)
        }
    }

    private fun write(drain: DrainRecord, done: (OrderResult<DrainRecord>) -> Unit) {
        val value = DrainCodec.encode(drain)
        if (TransactionSize.jsonBytes(value) > context.settings.stateLimits.valueKb * BYTES_PER_KIB * MAX_RECORD_FILL) {
            return done(OrderResult.Refused(OrderErrorCode.INVALID, "the selector names too many machines"))
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

        /** The fraction of the maximum value size that an order's record may fill; the rest is for the drain's progress. */
        const val MAX_RECORD_FILL = 0.9
    }
}
