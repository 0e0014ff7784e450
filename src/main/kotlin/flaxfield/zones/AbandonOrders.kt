package flaxfield.zones

import flaxfield.codec.FieldMap
import flaxfield.controller.ControllerContext
import flaxfield.drain.FleetKeys
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.OrderFault
import flaxfield.drain.OrderResult
import flaxfield.drain.OrderWriter
import flaxfield.jobs.Job
import org.slf4j.LoggerFactory

/**
 * An operator's word that what a class had in a lost zone is given up: its tasks there may be started again elsewhere,
 * though they may have ended, or still run until their machines are returned.
 */
data class AbandonOrder(
    val zone: String,
    val jobClass: String,
    /** The loss that it is about, and all before it. */
    val incarnation: Long,
    val orderedMs: Long,
    val version: ULong,
) {
    val name: String get() = name(zone, jobClass)

    /** Whether it covers what [job] had in its zone, which has been lost [lost] times. */
    fun covers(job: Job, lost: Long): Boolean =
        job.spec.jobClass == jobClass && lost <= incarnation && job.submittedMs <= orderedMs

    companion object {
        /** The name under which an order about [jobClass] in [zone] is stored. */
        fun name(zone: String, jobClass: String) = "$zone/$jobClass"
    }
}

/** Stored form of the orders. */
object AbandonCodec {
    fun encode(order: AbandonOrder): Map<String, Any?> = mapOf(
        "incarnation" to order.incarnation,
        "at" to order.orderedMs,
    )

    fun decode(name: String, o: FieldMap, version: ULong) = AbandonOrder(
        name.substringBefore('/'),
        name.substringAfter('/'),
        o.requireUnsigned("incarnation").toLong(),
        o.requireUnsigned("at").toLong(),
        version,
    )
}

/** Records orders to give up, on whichever node they reach; a repeat for the same loss is answered as the first one. */
class AbandonOrders(private val context: ControllerContext) {
    private val writer = OrderWriter(context)

    /** Takes an order about [jobClass] in [zone]; [done] is called on the owner thread. */
    fun take(zone: String, jobClass: String, snapshot: FleetSnapshot, done: (OrderResult<AbandonOrder>) -> Unit) {
        val known = snapshot.abandons[AbandonOrder.name(zone, jobClass)]
        val record = snapshot.zones[zone]
        if (record == null ||
            record.incarnation == 0L
        ) {
            return done(OrderResult.Refused(OrderFault.CONFLICT, "zone $zone has not been lost"))
        }
        if (context.settings.objectives.none { it.jobClass == jobClass } &&
            snapshot.jobs.values.none { it.spec.jobClass == jobClass }
        ) {
            return done(OrderResult.Refused(OrderFault.NOT_FOUND, "no class $jobClass"))
        }
        if (known != null &&
            known.incarnation == record.incarnation
        ) {
            return done(OrderResult.Recorded(known, snapshot.revision))
        }
        val order = AbandonOrder(zone, jobClass, record.incarnation, context.nowMs, known?.version ?: 0uL)
        writer.write(
            "zone $zone",
            FleetKeys.ABANDON + order.name,
            order.version,
            AbandonCodec.encode(order),
        ) { result ->
            if (result is OrderResult.Recorded) {
                log.info(
                    "zone={} class={} incarnation={} abandoned",
                    zone,
                    jobClass,
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
