package flaxfield.zones

import flaxfield.MILLIS_PER_SECOND

/** The times of a zone's states, as ratios to a worker's lease. */
class ZoneTimes(leaseS: Double) {
    private val leaseMs = leaseS * MILLIS_PER_SECOND

    /**
     * From suspicion to loss. With [SILENT_LEASES] before it, the silence has then lasted for a lease: what nobody
     * renewed has ended, and a shorter cut moves nothing.
     */
    val confirmMs: Long = (leaseMs * (1.0 - SILENT_LEASES)).toLong()

    /** How long a step of the return lasts: every worker has reported twice. */
    fun stepMs(relapses: Int): Long =
        (leaseMs * STEP_LEASES * (1.0 + LONGER * relapses.coerceAtMost(MAX_RELAPSES))).toLong()

    /**
     * How long a zone that keeps silent is left alone before it is tried anew: its machines have all been returned by
     * then.
     */
    val retryMs: Long = (leaseMs * RETRY_LEASES).toLong()

    /** A zone that has been healthy for so long starts its next return as if it had never failed. */
    val calmMs: Long = (leaseMs * CALM_LEASES).toLong()

    /** How long after a loss machines are given up before whose work [tiers] more urgent tiers come. */
    fun stageMs(tiers: Int): Long = (leaseMs * STAGE_LEASES * minOf(tiers, MAX_STAGES)).toLong()

    companion object {
        /** A machine not heard for this share of a lease, some two report intervals, counts as silent for its zone. */
        const val SILENT_LEASES = 0.4
        private const val STEP_LEASES = 0.5
        private const val RETRY_LEASES = 6.0
        private const val CALM_LEASES = 10.0

        /** Two more leases are about what a boot and a fetch take: by then a machine rented elsewhere is up as well. */
        private const val STAGE_LEASES = 1.0
        private const val MAX_STAGES = 2

        /**
         * A step takes this much longer for each further loss, up to half as long again: what is bound to the zone
         * waits for it.
         */
        private const val LONGER = 0.25
        const val MAX_RELAPSES = 2
    }
}

/** Pure: what becomes of the zones' records as the evidence goes. */
class ZoneHealth(private val times: ZoneTimes) {
    /**
     * The records that change now, at [nowMs], where [records] are those so far and [machines] tells how many machines
     * each zone has. When more than half of the zones that can be judged are silent at once, it is rather our own
     * hearing that fails: then no zone is suspected or given up.
     */
    fun next(
        records: Map<String, ZoneRecord>,
        evidence: Map<String, ZoneEvidence>,
        machines: Map<String, Int>,
        nowMs: Long,
    ): List<ZoneRecord> {
        val judged = evidence.values.filter { it.expected >= ZoneEvidence.FEWEST_MACHINES }
        val trusted = judged.count { it.silent } * 2 <= judged.size
        return (evidence.keys + records.keys).sorted().mapNotNull { zone ->
            val now = records[zone] ?: ZoneRecord.healthy(zone, nowMs)
            val next = next(now, evidence[zone] ?: unheard(zone), machines[zone] ?: 0, trusted, nowMs)
            next.takeIf { it != now }
        }
    }

    private fun unheard(zone: String) = ZoneEvidence(zone, 0, silent = false, heard = false)

    private fun next(
        now: ZoneRecord,
        evidence: ZoneEvidence,
        machines: Int,
        trusted: Boolean,
        nowMs: Long,
    ): ZoneRecord {
        val silent = trusted && evidence.silent && evidence.expected >= ZoneEvidence.FEWEST_MACHINES
        val forMs = nowMs - now.sinceMs
        return when (now.state) {
            ZoneState.HEALTHY -> if (silent) now.copy(state = ZoneState.SUSPECT, sinceMs = nowMs) else now
            ZoneState.SUSPECT -> when {
                evidence.heard || evidence.expected == 0 -> now.copy(state = ZoneState.HEALTHY, sinceMs = nowMs)
                silent && forMs >= times.confirmMs -> lost(now, machines, nowMs)
                else -> now
            }
            ZoneState.LOST -> when {
                evidence.heard -> now.copy(state = ZoneState.RETURNING, sinceMs = nowMs, endedMs = nowMs)
                forMs >= times.retryMs -> now.copy(
                    state = ZoneState.RETURNING,
                    sinceMs = nowMs,
                    endedMs = nowMs,
                    step = ReturnRamp.TRIAL,
                )
                else -> now
            }
            ZoneState.RETURNING -> returning(now, evidence, silent, machines, nowMs)
        }
    }

    private fun returning(
        now: ZoneRecord,
        evidence: ZoneEvidence,
        silent: Boolean,
        machines: Int,
        nowMs: Long,
    ): ZoneRecord {
        // Machines that are tried anew and keep silent tell nothing new: there were none but them.
        if (silent && now.step > ReturnRamp.TRIAL) return lost(now, maxOf(machines, now.machines), nowMs)
        if (!evidence.heard || nowMs - now.sinceMs < stepMs(now)) return now
        if (ReturnRamp.isWhole(now.step + 1)) {
            return now.copy(state = ZoneState.HEALTHY, sinceMs = nowMs, step = ReturnRamp.FIRST)
        }
        return now.copy(step = now.step + 1, sinceMs = nowMs)
    }

    /** A trial ends with the first machine that is heard. */
    private fun stepMs(now: ZoneRecord): Long = if (now.step <= ReturnRamp.TRIAL) 0 else times.stepMs(now.relapses)

    private fun lost(now: ZoneRecord, machines: Int, nowMs: Long): ZoneRecord {
        val calm = now.endedMs == 0L || now.state != ZoneState.RETURNING && nowMs - now.endedMs > times.calmMs
        return now.copy(
            state = ZoneState.LOST,
            incarnation = now.incarnation + 1,
            sinceMs = nowMs,
            lostMs = nowMs,
            machines = machines,
            step = if (now.state == ZoneState.RETURNING) ReturnRamp.afterLoss(now.step) else ReturnRamp.FIRST,
            relapses = if (calm) 0 else (now.relapses + 1).coerceAtMost(ZoneTimes.MAX_RELAPSES),
        )
    }
}
