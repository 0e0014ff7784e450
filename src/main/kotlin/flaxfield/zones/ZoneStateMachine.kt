package flaxfield.zones

/** The state machine of [ZoneRecord]s, driven by heartbeat evidence and time. Pure functions. */
class ZoneStateMachine(private val times: ZoneTimes) {
    /**
     * The input for a transition of one zone. [isUnreachable] is false if the controllers are more likely at fault than
     * the zone, and [machines] is how many machines the zone has.
     */
    private class Observation(
        val evidence: ZoneEvidence,
        val isUnreachable: Boolean,
        val machines: Int,
        val nowMs: Long,
    )

    /**
     * Returns the records that change at [nowMs], given the current [records] and how many [machines] each zone has. If
     * more than half of the zones with enough machines are unreachable at once, the controllers are more likely at
     * fault than the zones. Then no zone becomes suspect or lost.
     */
    fun next(
        records: Map<String, ZoneRecord>,
        evidence: Map<String, ZoneEvidence>,
        machines: Map<String, Int>,
        nowMs: Long,
    ): List<ZoneRecord> {
        val assessable = evidence.values.filter(::hasEnoughMachines)
        val isZoneFaultLikely = assessable.count { it.isUnreachable } * 2 <= assessable.size
        return (evidence.keys + records.keys).sorted().mapNotNull { zone ->
            val record = records[zone] ?: ZoneRecord.healthy(zone, nowMs)
            val zoneEvidence = evidence[zone] ?: noEvidence(zone)
            val isUnreachable = isZoneFaultLikely && zoneEvidence.isUnreachable && hasEnoughMachines(zoneEvidence)
            val next = next(record, Observation(zoneEvidence, isUnreachable, machines[zone] ?: 0, nowMs))
            next.takeIf { it != record }
        }
    }

    private fun hasEnoughMachines(evidence: ZoneEvidence): Boolean =
        evidence.expectedMachines >= ZoneEvidence.MIN_MACHINES

    private fun noEvidence(zone: String) = ZoneEvidence(zone, 0, isUnreachable = false, isReachable = false)

    private fun next(record: ZoneRecord, observation: Observation): ZoneRecord = when (record.state) {
        ZoneState.HEALTHY -> fromHealthy(record, observation)
        ZoneState.SUSPECT -> fromSuspect(record, observation)
        ZoneState.LOST -> fromLost(record, observation)
        ZoneState.RETURNING -> fromReturning(record, observation)
    }

    private fun fromHealthy(record: ZoneRecord, observation: Observation): ZoneRecord =
        if (observation.isUnreachable) record.copy(state = ZoneState.SUSPECT, sinceMs = observation.nowMs) else record

    private fun fromSuspect(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        return when {
            observation.evidence.isReachable || observation.evidence.expectedMachines == 0 ->
                record.copy(state = ZoneState.HEALTHY, sinceMs = nowMs)
            observation.isUnreachable && nowMs - record.sinceMs >= times.lossConfirmationMs ->
                lost(record, observation.machines, nowMs)
            else -> record
        }
    }

    private fun fromLost(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        val returning = record.copy(state = ZoneState.RETURNING, sinceMs = nowMs, lossEndedMs = nowMs)
        return when {
            observation.evidence.isReachable -> returning
            nowMs - record.sinceMs >= times.probeDelayMs -> returning.copy(step = ReturnRamp.PROBE_STEP)
            else -> record
        }
    }

    private fun fromReturning(record: ZoneRecord, observation: Observation): ZoneRecord {
        val nowMs = observation.nowMs
        // Missing heartbeats during a probe prove nothing: the zone has no other machines than the probed ones.
        if (observation.isUnreachable && record.step > ReturnRamp.PROBE_STEP) {
            return lost(record, maxOf(observation.machines, record.machines), nowMs)
        }
        if (!observation.evidence.isReachable || nowMs - record.sinceMs < stepMs(record)) return record
        if (ReturnRamp.isComplete(record.step + 1)) {
            return record.copy(state = ZoneState.HEALTHY, sinceMs = nowMs, step = ReturnRamp.FIRST_STEP)
        }
        return record.copy(step = record.step + 1, sinceMs = nowMs)
    }

    /** Returns how long the step of [record] lasts. A probe ends with the first heartbeat. */
    private fun stepMs(record: ZoneRecord): Long =
        if (record.step <= ReturnRamp.PROBE_STEP) 0 else times.stepMs(record.flapCount)

    private fun lost(record: ZoneRecord, machines: Int, nowMs: Long): ZoneRecord {
        val isReturning = record.state == ZoneState.RETURNING
        val wasStable = record.lossEndedMs == 0L || !isReturning && nowMs - record.lossEndedMs > times.stableMs
        return record.copy(
            state = ZoneState.LOST,
            incarnation = record.incarnation + 1,
            sinceMs = nowMs,
            lostMs = nowMs,
            machines = machines,
            step = if (isReturning) ReturnRamp.stepAfterLoss(record.step) else ReturnRamp.FIRST_STEP,
            flapCount = if (wasStable) 0 else (record.flapCount + 1).coerceAtMost(ZoneTimes.MAX_FLAP_COUNT),
        )
    }
}
