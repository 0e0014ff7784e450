package flaxfield.zones

import flaxfield.codec.FieldMap
import flaxfield.store.StoreKeys

/** How a zone stands. A zone without a record is [HEALTHY]. */
enum class ZoneState {
    HEALTHY,

    /** Its workers have just fallen silent together: it gets no new work until it is known whether they come back. */
    SUSPECT,

    /**
     * Its workers have been silent for a worker's lease: its machines are given up, in the order of what runs on them.
     */
    LOST,

    /** It is heard again, or tried anew with a few machines: it gets work back in growing shares. */
    RETURNING,
}

/** What the leader has decided of one zone. It alone writes it, under its term. */
data class ZoneRecord(
    val zone: String,
    val state: ZoneState,
    /** How often the zone has been lost. */
    val incarnation: Long,
    /** Since when it is in this state, or at this step of its return; time of day in ms. */
    val sinceMs: Long,
    /** Machines that it had at its latest loss: the shares of its return are parts of them. */
    val machines: Int,
    /** How far its return has come, see [ReturnRamp]. Kept through a further loss, which halves it. */
    val step: Int,
    /** Losses in quick succession so far: the steps of a return take longer with each. */
    val relapses: Int,
    /** When its latest loss began, and when it ended; time of day in ms, 0 if it was never lost. */
    val lostMs: Long,
    val endedMs: Long,
    val version: ULong,
) {
    /** Whether it gets no new work at all. */
    val closed: Boolean get() = state == ZoneState.SUSPECT || state == ZoneState.LOST

    /**
     * Whether what its loss displaced is still being recovered at [nowMs]. A zone that has been tried anew in vain for
     * [patienceMs] may be gone for good: what it held has found its place elsewhere by then.
     */
    fun isRecovering(nowMs: Long, patienceMs: Long): Boolean = when (state) {
        ZoneState.LOST -> true
        ZoneState.RETURNING -> step > ReturnRamp.TRIAL || nowMs - sinceMs < patienceMs
        else -> false
    }

    companion object {
        /** The record of a zone that has never been seen to fail. */
        fun healthy(zone: String, sinceMs: Long) =
            ZoneRecord(zone, ZoneState.HEALTHY, 0, sinceMs, 0, ReturnRamp.FIRST, 0, 0, 0, 0uL)
    }
}

/** Stored form of the records. */
object ZoneCodec {
    fun encode(r: ZoneRecord): Map<String, Any?> = mapOf(
        "state" to r.state.name.lowercase(),
        "incarnation" to r.incarnation,
        "at" to r.sinceMs,
        "machines" to r.machines,
        "step" to r.step,
        "relapses" to r.relapses,
        "lost" to r.lostMs,
        "ended" to r.endedMs,
    )

    fun decode(o: FieldMap, key: String, version: ULong) = ZoneRecord(
        key.removePrefix(StoreKeys.ZONE),
        ZoneState.valueOf(o.requireText("state").uppercase()),
        o.requireUnsigned("incarnation").toLong(),
        o.requireUnsigned("at").toLong(),
        o.requireInt("machines"),
        o.requireInt("step"),
        o.requireInt("relapses"),
        o.requireUnsigned("lost").toLong(),
        o.requireUnsigned("ended").toLong(),
        version,
    )
}
