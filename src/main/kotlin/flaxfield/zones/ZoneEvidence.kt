package flaxfield.zones

/** What all controllers together know about one zone. */
data class ZoneEvidence(
    val zone: String,
    /** Machines from which heartbeats are expected. */
    val expected: Int,
    /** No controller gets heartbeats from it, and each has had the time to. */
    val silent: Boolean,
    /** At least one controller gets heartbeats from it. */
    val heard: Boolean,
) {
    companion object {
        /** Late heartbeats sent just before a zone was lost may come from this share of its machines. */
        const val MAX_SILENT_SHARE = 0.1
        const val MAJORITY_SHARE = 0.5

        /** Fewer machines than this may fail together by chance: each is judged by itself. */
        const val MIN_MACHINES = 3

        /**
         * The evidence on each zone, by name, from what the [members] have [reported], by member and zone. Null while a
         * member has reported nothing under this term, since it may be the one that gets heartbeats.
         */
        fun of(
            members: Collection<String>,
            reported: Map<String, Map<String, ZoneCoverage>>,
        ): Map<String, ZoneEvidence>? {
            if (members.isEmpty() || members.any { it !in reported }) return null
            val zones = members.flatMapTo(sortedSetOf()) { reported.getValue(it).keys }
            return zones.associateWith { zone -> of(zone, members.mapNotNull { reported.getValue(it)[zone] }) }
        }

        private fun of(zone: String, reported: List<ZoneCoverage>): ZoneEvidence {
            val expected = reported.sumOf { it.expected }
            return ZoneEvidence(
                zone,
                expected,
                silent = expected > 0 && reported.all { it.coverage == HeartbeatCoverage.NONE },
                heard = reported.any { it.coverage.showsReachable },
            )
        }
    }
}
