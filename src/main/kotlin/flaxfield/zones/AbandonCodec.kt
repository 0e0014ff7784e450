package flaxfield.zones

import flaxfield.codec.FieldMap

/** Encodes and decodes stored [AbandonOrder]s. */
object AbandonCodec {
    /** Returns the stored value of [order]. Its zone and job class are part of the key. */
    fun encode(order: AbandonOrder): Map<String, Any?> = mapOf(
        "incarnation" to order.incarnation,
        "at" to order.orderedMs,
    )

    /** Returns the order stored at [version] under [name], which is an [AbandonOrder.name]. */
    fun decode(name: String, fields: FieldMap, version: ULong) = AbandonOrder(
        name.substringBefore('/'),
        name.substringAfter('/'),
        fields.requireUnsigned("incarnation").toLong(),
        fields.requireUnsigned("at").toLong(),
        version,
    )
}
