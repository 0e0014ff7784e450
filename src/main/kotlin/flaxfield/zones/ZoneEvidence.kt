package flaxfield.zones

/** The combined heartbeat coverage of one zone over all controllers. */
data class ZoneEvidence(
    val zone: String,
    /** How many machines are expected to send heartbeats. */
    val expectedMachines: Int,
    /** Whether no controller gets heartbeats from the zone, though each has owned its machines for long enough. */
    val isUnreachable: Boolean,
    /** Whether at least one controller gets heartbeats from the zone. */
    val isReachable: Boolean,
) {
    companion object {
        /** The maximum share of machines whose last heartbeats may still arrive, delayed, after their zone is lost. */
        const val MAX_LATE_HEARTBEAT_SHARE = 0.1
        const val MAJORITY_SHARE = 0.5

        /**
         * Fewer machines than this may fail together by chance: they are assessed one by one and make no zone suspect.
         */
        const val MIN_MACHINES = 3

        /**
         * Returns the evidence on each zone, by zone name, from the coverage [reported] by the [members], which is
         * keyed by member and zone. Returns null until every member has reported under the current term, since a
         * missing member may be the one that gets heartbeats.
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
            val expectedMachines = reported.sumOf { it.expected }
            return ZoneEvidence(
                zone,
                expectedMachines,
                isUnreachable = expectedMachines > 0 && reported.all { it.coverage == HeartbeatCoverage.NONE },
                isReachable = reported.any { it.coverage.showsReachable },
            )
        }
    }
}
