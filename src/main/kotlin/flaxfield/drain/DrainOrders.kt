package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.controller.ControllerContext
import flaxfield.store.TransactionSize
import org.slf4j.LoggerFactory

/** What an operator asks for. */
sealed interface DrainOrder {
    val id: String

    /** Drains the machines that [selector] means. */
    data class Start(override val id: String, val selector: Selector) : DrainOrder

    /** Takes no further steps until it is resumed. */
    data class Pause(override val id: String) : DrainOrder

    data class Resume(override val id: String) : DrainOrder

    /** Gives what is still kept from new work back to it. */
    data class Cancel(override val id: String) : DrainOrder
}

/** What became of an order whose record is an [R]. */
sealed interface OrderResult<out R> {
    /** It is recorded, now or by an earlier copy of it. */
    data class Recorded<R>(val record: R, val revision: ULong) : OrderResult<R>

    data class Refused(val fault: OrderFault, val message: String) : OrderResult<Nothing>

    /** The same outcome, with what [make] makes of the revision as its record. */
    fun <T> recordedAs(make: (ULong) -> T): OrderResult<T> = when (this) {
        is Recorded -> Recorded(make(revision), revision)
        is Refused -> this
    }
}

/** Why an order is refused. */
enum class OrderFault {
    /** It names something that there is not. */
    NOT_FOUND,

    /** It asks for nothing that could be done. */
    INVALID,

    /** It does not fit what has become of the drain. */
    CONFLICT,

    /** It can't be written now; it may be, if its outcome is [unknown][UNKNOWN]. */
    UNAVAILABLE,

    /** The state service has not answered: the order may be recorded, and is safe to repeat. */
    UNKNOWN,
}

/**
 * Writes operators' orders as records, on whichever node they reach. The leader carries them out. A repeat of an order
 * under the same id is answered as the first one was.
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
        if (TransactionSize.json(value) > context.settings.stateLimits.valueKb * BYTES_PER_KIB * SELECTOR_SHARE) {
            return done(OrderResult.Refused(OrderFault.INVALID, "the selector names too many machines"))
        }
        writer.write("drain ${drain.id}", FleetKeys.DRAIN + drain.id, drain.version, value) { result ->
            if (result is OrderResult.Recorded) {
                log.info(
                    "drain={} phase={} ordered: {}",
                    drain.id,
                    drain.phase,
                    drain.selector,
                )
            }
            done(result.recordedAs { drain.copy(version = it) })
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")

        /** What a selector may take of its value; the rest is for the drain's progress. */
        const val SELECTOR_SHARE = 0.9
    }
}

/** What an order makes of a drain's record. */
sealed interface NextRecord {
    data class Keep(val drain: DrainRecord) : NextRecord

    data class Write(val drain: DrainRecord) : NextRecord

    data class Refuse(val fault: OrderFault, val message: String) : NextRecord
}

/** Pure: what an order does to what is known. */
object DrainOrderRules {
    /** The record after [order], where [known] is its drain's record so far. */
    fun next(order: DrainOrder, known: DrainRecord?, snapshot: FleetSnapshot, nowMs: Long): NextRecord {
        if (order is DrainOrder.Start) return start(order, known, snapshot, nowMs)
        if (known == null) return NextRecord.Refuse(OrderFault.NOT_FOUND, "no drain ${order.id}")
        return change(order, known)
    }

    private fun start(order: DrainOrder.Start, known: DrainRecord?, snapshot: FleetSnapshot, nowMs: Long): NextRecord {
        if (known != null) {
            if (known.selector == order.selector) return NextRecord.Keep(known)
            return NextRecord.Refuse(OrderFault.CONFLICT, "drain ${order.id} is there with another selector")
        }
        val fault = fault(order, snapshot)
        if (fault != null) return fault
        return NextRecord.Write(DrainRecord(order.id, order.selector, nowMs, DrainPhase.ACTIVE, null, 0, "", 0uL))
    }

    private fun fault(order: DrainOrder.Start, snapshot: FleetSnapshot): NextRecord.Refuse? {
        val s = order.selector
        val unknown = s.machines.filter { it !in snapshot.machines }.minOrNull()
        val zones = snapshot.machineTypes.values.flatMapTo(HashSet()) { it.zones }
        return when {
            !ID.matches(order.id) -> invalid("drain id '${order.id}' is not 1 to 40 letters, digits and dashes")
            s.machines.isEmpty() && s.machineType == null && s.zone == null && s.olderThanS == null ->
                invalid("the selector names no machine, type, zone or age")
            unknown != null -> NextRecord.Refuse(OrderFault.NOT_FOUND, "no machine $unknown")
            s.machineType != null && s.machineType !in snapshot.machineTypes ->
                NextRecord.Refuse(OrderFault.NOT_FOUND, "no machine type ${s.machineType}")
            s.zone != null && s.zone !in zones -> NextRecord.Refuse(OrderFault.NOT_FOUND, "no zone ${s.zone}")
            s.percent != null && !(s.percent > 0.0 && s.percent <= WHOLE) -> invalid(
                "percent is not above 0 and at most 100",
            )
            s.olderThanS != null && !(s.olderThanS >= 0.0) -> invalid("the age is negative")
            else -> null
        }
    }

    private fun change(order: DrainOrder, known: DrainRecord): NextRecord = when (order) {
        is DrainOrder.Pause -> move(known, DrainPhase.PAUSED, setOf(DrainPhase.ACTIVE))
        is DrainOrder.Resume -> move(known, DrainPhase.ACTIVE, setOf(DrainPhase.PAUSED))
        is DrainOrder.Cancel -> if (known.phase == DrainPhase.CANCELLED) {
            NextRecord.Keep(known)
        } else {
            move(known, DrainPhase.CANCELLING, setOf(DrainPhase.ACTIVE, DrainPhase.PAUSED))
        }
        is DrainOrder.Start -> NextRecord.Keep(known)
    }

    private fun move(known: DrainRecord, to: DrainPhase, from: Set<DrainPhase>): NextRecord = when (known.phase) {
        to -> NextRecord.Keep(known)
        in from -> NextRecord.Write(known.copy(phase = to))
        else -> NextRecord.Refuse(OrderFault.CONFLICT, "drain ${known.id} is ${known.phase.name.lowercase()}")
    }

    private fun invalid(message: String) = NextRecord.Refuse(OrderFault.INVALID, message)

    private val ID = Regex("[A-Za-z0-9-]{1,40}")
    private const val WHOLE = 100.0
}
