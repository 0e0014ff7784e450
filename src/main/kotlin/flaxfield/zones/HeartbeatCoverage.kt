package flaxfield.zones

/**
 * From how many of its machines in one zone a controller has had recent heartbeats, under the present term. Ordinals
 * are stored, so that the order of the constants must not change.
 */
enum class HeartbeatCoverage {
    /** It has owned the machines too briefly to tell. */
    UNKNOWN,

    /** Hardly any: at most [ZoneEvidence.MAX_SILENT_SHARE] of them. */
    NONE,
    SOME,
    MOST,
    ;

    /** Whether it shows that the zone is reachable. */
    val showsReachable: Boolean get() = this == SOME || this == MOST

    companion object {
        /**
         * The coverage of [expected] machines of which [heard] have sent heartbeats; [settled] if all of them have had
         * the time to.
         */
        fun of(expected: Int, heard: Int, settled: Boolean): HeartbeatCoverage = when {
            heard > expected * ZoneEvidence.MAJORITY_SHARE -> MOST
            heard > expected * ZoneEvidence.MAX_SILENT_SHARE -> SOME
            settled -> NONE
            else -> UNKNOWN
        }
    }
}

/** What one controller reports about one zone, beside the summaries of its machines. */
data class ZoneCoverage(
    /** Machines of its shard there that have sent heartbeats before, to it or an earlier owner, or that carry tasks. */
    val expected: Int,
    val coverage: HeartbeatCoverage,
) {
    /** Whether [other] leads to the same judgement: the exact count matters only where there are few machines. */
    fun isEquivalentTo(other: ZoneCoverage): Boolean = coverage == other.coverage &&
        minOf(expected, ZoneEvidence.MIN_MACHINES) == minOf(other.expected, ZoneEvidence.MIN_MACHINES)
}
