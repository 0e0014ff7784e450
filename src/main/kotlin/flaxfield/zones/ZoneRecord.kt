package flaxfield.zones

/** The state of a zone. A zone without a record is [HEALTHY]. */
enum class ZoneState {
    /** Machines of the zone get new tasks without a limit. */
    HEALTHY,

    /**
     * No controller gets heartbeats from the zone's workers. The zone gets no new tasks until it is confirmed as lost
     * or heartbeats arrive again.
     */
    SUSPECT,

    /**
     * The zone's workers have sent no heartbeats for the duration of a worker's lease. Its machines are released in the
     * order of their most urgent tasks.
     */
    LOST,

    /**
     * The zone sends heartbeats again, or is probed with a few machines. A growing share of its machines gets new
     * tasks.
     */
    RETURNING,
}

/** The state of one zone as decided by the leader. Only the leader writes it, under its term. */
data class ZoneRecord(
    val zone: String,
    val state: ZoneState,
    /** How many times the zone has been lost. */
    val incarnation: Long,
    /** When the zone entered this state, or this step of its return, in milliseconds of wall-clock time. */
    val sinceMs: Long,
    /** How many machines the zone had at its latest loss. [ReturnRamp] opens shares of this number. */
    val machines: Int,
    /**
     * The step of the zone's return, see [ReturnRamp]. A loss during the return sets it back by one, which halves the
     * share.
     */
    val step: Int,
    /** How many losses have followed a previous one in quick succession. Each makes the steps of a return longer. */
    val flapCount: Int,
    /** When the latest loss began, in milliseconds of wall-clock time; 0 if the zone was never lost. */
    val lostMs: Long,
    /** When the latest loss ended, in milliseconds of wall-clock time; 0 if none has ended. */
    val lossEndedMs: Long,
    val version: ULong,
) {
    /** Whether no machine of the zone gets new tasks. */
    val isClosed: Boolean get() = state == ZoneState.SUSPECT || state == ZoneState.LOST

    /**
     * Whether the tasks displaced by the loss are still being recovered at [nowMs]. A zone that has been probed for
     * [probeTimeoutMs] may never return. By then, its tasks have been placed in other zones.
     */
    fun isRecovering(nowMs: Long, probeTimeoutMs: Long): Boolean = when (state) {
        ZoneState.LOST -> true
        ZoneState.RETURNING -> step > ReturnRamp.PROBE_STEP || nowMs - sinceMs < probeTimeoutMs
        else -> false
    }

    companion object {
        /** Returns the record of a zone that was never lost. */
        fun healthy(zone: String, sinceMs: Long) = ZoneRecord(
            zone,
            ZoneState.HEALTHY,
            incarnation = 0,
            sinceMs = sinceMs,
            machines = 0,
            step = ReturnRamp.FIRST_STEP,
            flapCount = 0,
            lostMs = 0,
            lossEndedMs = 0,
            version = 0uL,
        )
    }
}
