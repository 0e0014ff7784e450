package flaxfield.zones

import flaxfield.codec.FieldMap

/** The stored form of [AbandonOrder]. */
object AbandonCodec {
    /** The stored value of [order]; its zone and class are in the key. */
    fun encode(order: AbandonOrder): Map<String, Any?> = mapOf(
        "incarnation" to order.incarnation,
        "at" to order.orderedMs,
    )

    /** The order stored under [name], see [AbandonOrder.name], at [version]. */
    fun decode(name: String, fields: FieldMap, version: ULong) = AbandonOrder(
        name.substringBefore('/'),
        name.substringAfter('/'),
        fields.requireUnsigned("incarnation").toLong(),
        fields.requireUnsigned("at").toLong(),
        version,
    )
}
