package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.zones.AbandonCodec
import flaxfield.zones.AbandonOrder
import org.slf4j.LoggerFactory

/**
 * Records the operators' [AbandonOrder]s on the controller that receives them. Orders are idempotent: a repeated order
 * for the same loss gets the result of the first. Confined to the owner thread.
 */
class AbandonOrders(private val context: ControllerContext) {
    private val writer = OrderWriter(context)

    /**
     * Validates an order for [jobClass] in [zone] against [snapshot] and records it. Calls [done] on the owner thread.
     */
    fun submit(zone: String, jobClass: String, snapshot: FleetSnapshot, done: (OrderResult<AbandonOrder>) -> Unit) {
        val record = snapshot.zones[zone]
        if (record == null || record.incarnation == 0L) {
            return done(OrderResult.Refused(OrderErrorCode.CONFLICT, "zone $zone has not been lost"))
        }
        if (!isKnownClass(jobClass, snapshot)) {
            return done(OrderResult.Refused(OrderErrorCode.NOT_FOUND, "no class $jobClass"))
        }
        val existing = snapshot.abandons[AbandonOrder.name(zone, jobClass)]
        if (existing != null && existing.incarnation == record.incarnation) {
            return done(OrderResult.Recorded(existing, snapshot.revision))
        }
        write(AbandonOrder(zone, jobClass, record.incarnation, context.nowMs, existing?.version ?: 0uL), done)
    }

    private fun isKnownClass(jobClass: String, snapshot: FleetSnapshot): Boolean =
        context.settings.objectives.any { it.jobClass == jobClass } ||
            snapshot.jobs.values.any { it.spec.jobClass == jobClass }

    private fun write(order: AbandonOrder, done: (OrderResult<AbandonOrder>) -> Unit) {
        val key = FleetKeys.ABANDON + order.name
        writer.write("zone ${order.zone}", key, order.version, AbandonCodec.encode(order)) { result ->
            if (result is OrderResult.Recorded) {
                log.info(
                    "event=class_abandoned zone={} job_class={} incarnation={}",
                    order.zone,
                    order.jobClass,
                    order.incarnation,
                )
            }
            done(result.recordedAs { order.copy(version = it) })
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.zones")
    }
}
