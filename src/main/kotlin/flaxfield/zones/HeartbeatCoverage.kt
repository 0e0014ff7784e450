package flaxfield.zones

/**
 * The share of a controller's machines in one zone that have sent it recent heartbeats under the current term. The
 * order of the constants must not change because their ordinals are stored.
 */
enum class HeartbeatCoverage {
    /** The controller has not owned the machines for long enough to judge. */
    UNKNOWN,

    /** At most [ZoneEvidence.MAX_LATE_HEARTBEAT_SHARE] of the machines. */
    NONE,

    /** More machines than for [NONE], but no majority. */
    SOME,

    /** More than [ZoneEvidence.MAJORITY_SHARE] of the machines. */
    MOST,
    ;

    /** Whether the coverage proves that the zone is reachable. */
    val showsReachable: Boolean get() = this == SOME || this == MOST

    companion object {
        /**
         * Returns the coverage of [expected] machines, [reporting] of which have sent recent heartbeats.
         * [ownedLongEnough] tells whether all of them have had the time to send one to this owner.
         */
        fun of(expected: Int, reporting: Int, ownedLongEnough: Boolean): HeartbeatCoverage = when {
            reporting > expected * ZoneEvidence.MAJORITY_SHARE -> MOST
            reporting > expected * ZoneEvidence.MAX_LATE_HEARTBEAT_SHARE -> SOME
            ownedLongEnough -> NONE
            else -> UNKNOWN
        }
    }
}

/** The heartbeat coverage of one zone as reported by one controller, in addition to its machine summaries. */
data class ZoneCoverage(
    /**
     * How many machines of the controller's shard in the zone are expected to send heartbeats: those that have tasks or
     * have sent heartbeats before, to this controller or to an earlier owner.
     */
    val expected: Int,
    val coverage: HeartbeatCoverage,
) {
    /**
     * Whether [other] leads to the same decision: the number of machines matters only up to
     * [ZoneEvidence.MIN_MACHINES].
     */
    fun isEquivalentTo(other: ZoneCoverage): Boolean = coverage == other.coverage &&
        minOf(expected, ZoneEvidence.MIN_MACHINES) == minOf(other.expected, ZoneEvidence.MIN_MACHINES)
}
