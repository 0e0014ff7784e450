package flaxfield.zones

/** The state of a zone. A zone without a record is [HEALTHY]. */
enum class ZoneState {
    HEALTHY,

    /**
     * Heartbeats from its workers have stopped together: it gets no new work until the silence is confirmed or ends.
     */
    SUSPECT,

    /**
     * Its workers have been silent for a worker's lease: its machines are released, in the order of the work on them.
     */
    LOST,

    /** Heartbeats come again, or it is tried with a few machines: its machines get work back in growing shares. */
    RETURNING,
}

/** What the leader has decided about one zone. Only the leader writes it, under its term. */
data class ZoneRecord(
    val zone: String,
    val state: ZoneState,
    /** How often the zone has been lost. */
    val incarnation: Long,
    /** Since when it is in this state, or at this step of its return; wall clock in milliseconds. */
    val sinceMs: Long,
    /** Machines that it had at its latest loss, of which [ReturnRamp] opens shares. */
    val machines: Int,
    /** The step of its return, see [ReturnRamp]. It is kept through a further loss, which halves the share. */
    val step: Int,
    /** Losses in quick succession so far: the steps of a return take longer with each. */
    val relapses: Int,
    /** When its latest loss began; wall clock in milliseconds, 0 if it was never lost. */
    val lostMs: Long,
    /** When its latest loss ended; wall clock in milliseconds, 0 if none has ended. */
    val endedMs: Long,
    val version: ULong,
) {
    /** Whether it gets no new work at all. */
    val isClosed: Boolean get() = state == ZoneState.SUSPECT || state == ZoneState.LOST

    /**
     * Whether the work displaced by its loss is still being recovered at [nowMs]. A zone that has been on trial for
     * [patienceMs] may be gone for good: its work has found other machines by then.
     */
    fun isRecovering(nowMs: Long, patienceMs: Long): Boolean = when (state) {
        ZoneState.LOST -> true
        ZoneState.RETURNING -> step > ReturnRamp.TRIAL || nowMs - sinceMs < patienceMs
        else -> false
    }

    companion object {
        /** The record of a zone that has never failed. */
        fun healthy(zone: String, sinceMs: Long) = ZoneRecord(
            zone,
            ZoneState.HEALTHY,
            incarnation = 0,
            sinceMs = sinceMs,
            machines = 0,
            step = ReturnRamp.FIRST,
            relapses = 0,
            lostMs = 0,
            endedMs = 0,
            version = 0uL,
        )
    }
}
