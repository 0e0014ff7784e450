package flaxfield.zones

import flaxfield.codec.FieldMap
import flaxfield.store.StoreKeys

/** Encodes and decodes stored [ZoneRecord]s. */
object ZoneCodec {
    /** Returns the stored value of [record]. The store keeps its zone in the key, and its version. */
    fun encode(record: ZoneRecord): Map<String, Any?> = mapOf(
        "state" to record.state.name.lowercase(),
        "incarnation" to record.incarnation,
        "at" to record.sinceMs,
        "machines" to record.machines,
        "step" to record.step,
        "relapses" to record.flapCount,
        "lost" to record.lostMs,
        "ended" to record.lossEndedMs,
    )

    /** Returns the record stored under [key] at [version]. */
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
