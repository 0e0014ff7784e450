package flaxfield.zones

/** Pure: the state machine of the zones' records, driven by evidence and time. */
class ZoneHealth(private val times: ZoneTimes) {
    /** What is known of one zone at the moment of a decision; [machines] is how many it has. */
    private class Observation(val evidence: ZoneEvidence, val isSilent: Boolean, val machines: Int, val nowMs: Long)

    /**
     * The records that change at [nowMs], given the present [records] and how many [machines] each zone has. When more
     * than half of the zones that can be judged are silent at once, the fault is more likely on the controllers' side:
     * then no zone becomes suspect or lost.
     */
    fun next(
        records: Map<String, ZoneRecord>,
        evidence: Map<String, ZoneEvidence>,
        machines: Map<String, Int>,
        nowMs: Long,
    ): List<ZoneRecord> {
        val judged = evidence.values.filter(::isJudged)
        val isSilenceTrusted = judged.count { it.silent } * 2 <= judged.size
        return (evidence.keys + records.keys).sorted().mapNotNull { zone ->
            val record = records[zone] ?: ZoneRecord.healthy(zone, nowMs)
            val zoneEvidence = evidence[zone] ?: noEvidence(zone)
            val isSilent = isSilenceTrusted && zoneEvidence.silent && isJudged(zoneEvidence)
            val next = next(record, Observation(zoneEvidence, isSilent, machines[zone] ?: 0, nowMs))
            next.takeIf { it != record }
        }
    }

    private fun isJudged(evidence: ZoneEvidence): Boolean = evidence.expected >= ZoneEvidence.MIN_MACHINES

    private fun noEvidence(zone: String) = ZoneEvidence(zone, 0, silent = false, heard = false)

    private fun next(record: ZoneRecord, observation: Observation): ZoneRecord = when (record.state) {
        ZoneState.HEALTHY -> fromHealthy(record, observation)
        ZoneState.SUSPECT -> fromSuspect(record, observation)
        ZoneState.LOST -> fromLost(record, observation)
        ZoneState.RETURNING -> fromReturning(record, observation)
    }

    private fun fromHealthy(record: ZoneRecord, observation: Observation): ZoneRecord =
        if (observation.isSilent) record.copy(state = ZoneState.SUSPECT, sinceMs = observation.nowMs) else record

    private fun fromSuspect(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        return when {
            observation.evidence.heard || observation.evidence.expected == 0 ->
                record.copy(state = ZoneState.HEALTHY, sinceMs = nowMs)
            observation.isSilent && nowMs - record.sinceMs >= times.confirmMs ->
                lost(record, observation.machines, nowMs)
            else -> record
        }
    }

    private fun fromLost(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        val returning = record.copy(state = ZoneState.RETURNING, sinceMs = nowMs, endedMs = nowMs)
        return when {
            observation.evidence.heard -> returning
            nowMs - record.sinceMs >= times.retryMs -> returning.copy(step = ReturnRamp.TRIAL)
            else -> record
        }
    }

    private fun fromReturning(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        // During a trial silence shows nothing new: there are no machines but those that were tried.
        if (observation.isSilent && record.step > ReturnRamp.TRIAL) {
            return lost(record, maxOf(observation.machines, record.machines), nowMs)
        }
        if (!observation.evidence.heard || nowMs - record.sinceMs < stepMs(record)) return record
        if (ReturnRamp.isComplete(record.step + 1)) {
            return record.copy(state = ZoneState.HEALTHY, sinceMs = nowMs, step = ReturnRamp.FIRST)
        }
        return record.copy(step = record.step + 1, sinceMs = nowMs)
    }

    /** A trial ends with the first heartbeat. */
    private fun stepMs(record: ZoneRecord): Long =
        if (record.step <= ReturnRamp.TRIAL) 0 else times.stepMs(record.relapses)

    private fun lost(record: ZoneRecord, machines: Int, nowMs: Long): ZoneRecord {
        val isReturning = record.state == ZoneState.RETURNING
        val wasStable = record.endedMs == 0L || !isReturning && nowMs - record.endedMs > times.stableMs
        return record.copy(
            state = ZoneState.LOST,
            incarnation = record.incarnation + 1,
            sinceMs = nowMs,
            lostMs = nowMs,
            machines = machines,
            step = if (isReturning) ReturnRamp.stepAfterLoss(record.step) else ReturnRamp.FIRST,
            relapses = if (wasStable) 0 else (record.relapses + 1).coerceAtMost(ZoneTimes.MAX_RELAPSES),
        )
    }
}
