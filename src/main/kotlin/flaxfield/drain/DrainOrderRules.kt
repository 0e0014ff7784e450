package flaxfield.drain

/** The effect of an order on a drain's record. */
sealed interface OrderEffect {
    /** The order changes nothing: [drain] is in the ordered state already. */
    data class Unchanged(val drain: DrainRecord) : OrderEffect

    /** The order replaces the record with [drain]. */
    data class Write(val drain: DrainRecord) : OrderEffect

    /** The order is refused. */
    data class Refuse(val code: OrderErrorCode, val message: String) : OrderEffect
}

/** Decides the effect of an order on a drain's current record. Pure. */
object DrainOrderRules {
    /** Returns the effect of [order] on [existing], its drain's current record, which is null for an unknown drain. */
    fun effect(order: DrainOrder, existing: DrainRecord?, snapshot: FleetSnapshot, nowMs: Long): OrderEffect {
        if (order is DrainOrder.Start) return start(order, existing, snapshot, nowMs)
        if (existing == null) return notFound("no drain ${order.id}")
        return change(order, existing)
    }

    private fun start(
        order: DrainOrder.Start,
        existing: DrainRecord?,
        snapshot: FleetSnapshot,
        nowMs: Long,
    ): OrderEffect {
        if (existing != null) {
            if (existing.selector == order.selector) return OrderEffect.Unchanged(existing)
            return OrderEffect.Refuse(OrderErrorCode.CONFLICT, "drain ${order.id} exists with another selector")
        }
        validate(order, snapshot)?.let { return it }
        return OrderEffect.Write(DrainRecord(order.id, order.selector, nowMs, DrainPhase.ACTIVE, null, 0, "", 0uL))
    }

    private fun validate(order: DrainOrder.Start, snapshot: FleetSnapshot): OrderEffect.Refuse? {
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

    private fun unknownName(selector: Selector, snapshot: FleetSnapshot): OrderEffect.Refuse? {
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

    /** The conditions are negated so that NaN is refused. */
    private fun invalidNumber(selector: Selector): OrderEffect.Refuse? = when {
        selector.percent != null && !(selector.percent > 0.0 && selector.percent <= MAX_PERCENT) ->
            invalid("percent is not above 0 and at most 100")
        selector.olderThanS != null && !(selector.olderThanS >= 0.0) -> invalid("the age is negative")
        else -> null
    }

    private fun change(order: DrainOrder, existing: DrainRecord): OrderEffect = when (order) {
        is DrainOrder.Pause -> transition(existing, DrainPhase.PAUSED, setOf(DrainPhase.ACTIVE))
        is DrainOrder.Resume -> transition(existing, DrainPhase.ACTIVE, setOf(DrainPhase.PAUSED))
        is DrainOrder.Cancel -> if (existing.phase == DrainPhase.CANCELLED) {
            OrderEffect.Unchanged(existing)
        } else {
            transition(existing, DrainPhase.CANCELLING, setOf(DrainPhase.ACTIVE, DrainPhase.PAUSED))
        }
        is DrainOrder.Start -> OrderEffect.Unchanged(existing)
    }

    private fun transition(existing: DrainRecord, to: DrainPhase, from: Set<DrainPhase>): OrderEffect =
        when (existing.phase) {
            to -> OrderEffect.Unchanged(existing)
            in from -> OrderEffect.Write(existing.copy(phase = to))
            else -> OrderEffect.Refuse(
                OrderErrorCode.CONFLICT,
                "drain ${existing.id} is ${existing.phase.name.lowercase()}",
            )
        }

    private fun notFound(message: String) = OrderEffect.Refuse(OrderErrorCode.NOT_FOUND, message)

    private fun invalid(message: String) = OrderEffect.Refuse(OrderErrorCode.INVALID, message)

    private val ID = Regex("[A-Za-z0-9-]{1,40}")
    private const val MAX_PERCENT = 100.0
}
