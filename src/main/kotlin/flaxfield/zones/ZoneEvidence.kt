package flaxfield.zones

/** How many of its machines in one zone a controller has heard lately, under the present term. */
enum class HeartbeatCoverage {
    /** It has owned them too briefly to tell. */
    UNKNOWN,

    /** Hardly any: [ZoneEvidence.HARDLY_ANY] at the most. */
    NONE,
    SOME,
    MOST,
    ;

    /** Whether it is a sign that the zone is there. */
    val isSign: Boolean get() = this == SOME || this == MOST

    companion object {
        /** What [heard] of [expected] machines amount to; [settled] if there was time for all of them to report. */
        fun of(expected: Int, heard: Int, settled: Boolean): HeartbeatCoverage = when {
            heard > expected * ZoneEvidence.MAJORITY_SHARE -> MOST
            heard > expected * ZoneEvidence.HARDLY_ANY -> SOME
            settled -> NONE
            else -> UNKNOWN
        }
    }
}

/** What one controller tells of one zone, beside the summaries of its machines. */
data class ZoneCoverage(
    /** Machines of its part there that have reported before, to it or to an earlier owner, or that carry tasks. */
    val expected: Int,
    val coverage: HeartbeatCoverage,
) {
    /** Whether [o] says the same: the exact count matters only where there are few. */
    fun isLike(o: ZoneCoverage): Boolean = coverage == o.coverage &&
        minOf(expected, ZoneEvidence.FEWEST_MACHINES) == minOf(o.expected, ZoneEvidence.FEWEST_MACHINES)
}

/** What all controllers together know of one zone. */
data class ZoneEvidence(
    val zone: String,
    val expected: Int,
    /** Nobody hears it, and everybody had the time to. */
    val silent: Boolean,
    /** Somebody hears it. */
    val heard: Boolean,
) {
    companion object {
        /** A share that late reports of a lost zone's last moments may reach. */
        const val HARDLY_ANY = 0.1
        const val MAJORITY_SHARE = 0.5

        /** Fewer machines than this may fall silent together by chance: each is judged by itself, as anywhere. */
        const val FEWEST_MACHINES = 3

        /**
         * The evidence of each zone from what the members tell, by member and zone; null while a member has told
         * nothing under this term, since it may be the one that hears.
         */
        fun of(members: Collection<String>, told: Map<String, Map<String, ZoneCoverage>>): Map<String, ZoneEvidence>? {
            if (members.isEmpty() || members.any { it !in told }) return null
            val zones = members.flatMapTo(sortedSetOf()) { told.getValue(it).keys }
            return zones.associateWith { zone -> of(zone, members.mapNotNull { told.getValue(it)[zone] }) }
        }

        private fun of(zone: String, all: List<ZoneCoverage>): ZoneEvidence {
            val expected = all.sumOf { it.expected }
            return ZoneEvidence(
                zone,
                expected,
                silent = expected > 0 && all.all { it.coverage == HeartbeatCoverage.NONE },
                heard = all.any { it.coverage.isSign },
            )
        }
    }
}
