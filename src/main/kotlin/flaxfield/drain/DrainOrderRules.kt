package flaxfield.drain

/** What an order does to a drain's record. */
sealed interface NextRecord {
    /** Nothing: the record is as the order wants it. */
    data class Keep(val drain: DrainRecord) : NextRecord

    /** The record is to be replaced by [drain]. */
    data class Write(val drain: DrainRecord) : NextRecord

    /** The order is refused. */
    data class Refuse(val fault: OrderFault, val message: String) : NextRecord
}

/** Pure: the effect of an order on the present record. */
object DrainOrderRules {
    /** The effect of [order], where [known] is the present record of its drain. */
    fun next(order: DrainOrder, known: DrainRecord?, snapshot: FleetSnapshot, nowMs: Long): NextRecord {
        if (order is DrainOrder.Start) return start(order, known, snapshot, nowMs)
        if (known == null) return notFound("no drain ${order.id}")
        return change(order, known)
    }

    private fun start(order: DrainOrder.Start, known: DrainRecord?, snapshot: FleetSnapshot, nowMs: Long): NextRecord {
        if (known != null) {
            if (known.selector == order.selector) return NextRecord.Keep(known)
            return NextRecord.Refuse(OrderFault.CONFLICT, "drain ${order.id} is there with another selector")
        }
        fault(order, snapshot)?.let { return it }
        return NextRecord.Write(DrainRecord(order.id, order.selector, nowMs, DrainPhase.ACTIVE, null, 0, "", 0uL))
    }

    private fun fault(order: DrainOrder.Start, snapshot: FleetSnapshot): NextRecord.Refuse? {
        val selector = order.selector
        return when {
            !ID.matches(order.id) -> invalid("drain id '${order.id}' is not 1 to 40 letters, digits and dashes")
            isUnrestricted(selector) -> invalid("the selector names no machine, type, zone or age")
            else -> unknownName(selector, snapshot) ?: invalidNumber(selector)
        }
    }

    private fun isUnrestricted(selector: Selector): Boolean = selector.machines.isEmpty() &&
        selector.machineType == null &&
        selector.zone == null &&
        selector.olderThanS == null

    private fun unknownName(selector: Selector, snapshot: FleetSnapshot): NextRecord.Refuse? {
        val unknown = selector.machines.filter { it !in snapshot.machines }.minOrNull()
        val zones = snapshot.machineTypes.values.flatMapTo(HashSet()) { it.zones }
        return when {
            unknown != null -> notFound("no machine $unknown")
            selector.machineType != null && selector.machineType !in snapshot.machineTypes ->
                notFound("no machine type ${selector.machineType}")
            selector.zone != null && selector.zone !in zones -> notFound("no zone ${selector.zone}")
            else -> null
        }
    }

    /** Written so that a number that is NaN is refused. */
    private fun invalidNumber(selector: Selector): NextRecord.Refuse? = when {
        selector.percent != null && !(selector.percent > 0.0 && selector.percent <= MAX_PERCENT) ->
            invalid("percent is not above 0 and at most 100")
        selector.olderThanS != null && !(selector.olderThanS >= 0.0) -> invalid("the age is negative")
        else -> null
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

    private fun notFound(message: String) = NextRecord.Refuse(OrderFault.NOT_FOUND, message)

    private fun invalid(message: String) = NextRecord.Refuse(OrderFault.INVALID, message)

    private val ID = Regex("[A-Za-z0-9-]{1,40}")
    private const val MAX_PERCENT = 100.0
}
