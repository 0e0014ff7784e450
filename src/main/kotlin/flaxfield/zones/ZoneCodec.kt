package flaxfield.zones

import flaxfield.codec.FieldMap
import flaxfield.store.StoreKeys

/** The stored form of [ZoneRecord]. */
object ZoneCodec {
    /** The stored value of [record]; its zone and version are the store's. */
    fun encode(record: ZoneRecord): Map<String, Any?> = mapOf(
        "state" to record.state.name.lowercase(),
        "incarnation" to record.incarnation,
        "at" to record.sinceMs,
        "machines" to record.machines,
        "step" to record.step,
        "relapses" to record.relapses,
        "lost" to record.lostMs,
        "ended" to record.endedMs,
    )

    /** The record stored under [key] at [version]. */
    fun decode(fields: FieldMap, key: String, version: ULong) = ZoneRecord(
        key.removePrefix(StoreKeys.ZONE),
        ZoneState.valueOf(fields.requireText("state").uppercase()),
        fields.requireUnsigned("incarnation").toLong(),
        fields.requireUnsigned("at").toLong(),
        fields.requireInt("machines"),
        fields.requireInt("step"),
        fields.requireInt("relapses"),
        fields.requireUnsigned("lost").toLong(),
        fields.requireUnsigned("ended").toLong(),
        version,
    )
}
