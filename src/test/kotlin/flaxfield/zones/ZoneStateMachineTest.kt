package flaxfield.zones

import flaxfield.codec.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** With a lease of 10 s, a step of the return ramp lasts 5 s, and a suspect zone is lost after 6 s. */
class ZoneStateMachineTest {
    private val stateMachine = ZoneStateMachine(ZoneTimes(10.0))
    private val none = HeartbeatCoverage.NONE
    private val most = HeartbeatCoverage.MOST

    private fun reported(vararg members: Pair<String, Map<String, ZoneCoverage>>) = mapOf(*members)

    private fun covered(expected: Int, coverage: HeartbeatCoverage) = ZoneCoverage(expected, coverage)

    /** Applies the [evidence] of each second, and returns the changes as `second zone state step`. */
    private fun runFor(
        seconds: Int,
        from: Map<String, ZoneRecord> = emptyMap(),
        evidence: (Int) -> Map<String, ZoneEvidence>,
    ): List<String> {
        val records = HashMap(from)
        val changes = ArrayList<String>()
        for (s in 0..seconds) {
            for (next in stateMachine.next(records, evidence(s), mapOf("a" to 16, "b" to 16), s * 1000L)) {
                records[next.zone] = next
                changes += "$s ${next.zone} ${next.state.name.lowercase()} ${next.step}"
            }
        }
        return changes
    }

    private fun zoneEvidence(zone: String, isUnreachable: Boolean, expectedMachines: Int = 16) = zone to ZoneEvidence(
        zone,
        expectedMachines,
        isUnreachable && expectedMachines > 0,
        isReachable = !isUnreachable && expectedMachines > 0,
    )

    @Test
    fun `a lost zone returns in doubling steps, and a short partition starts no ramp`() {
        val longPartition = runFor(60) { s -> mapOf(zoneEvidence("a", s in 3..20), zoneEvidence("b", false)) }
        assertEquals(
            listOf(
                "3 a suspect 1",
                "9 a lost 1",
                "21 a returning 1",
                "26 a returning 2",
                "31 a returning 3",
                "36 a healthy 1",
            ),
            longPartition,
        )
        val shortPartition = runFor(60) { s -> mapOf(zoneEvidence("a", s in 3..7), zoneEvidence("b", false)) }
        assertEquals(listOf("3 a suspect 1", "8 a healthy 1"), shortPartition)
    }

    @Test
    fun `a repeated loss halves the share and lengthens the steps up to a limit`() {
        val changes = runFor(90) { s -> mapOf(zoneEvidence("a", s in 0..10 || s in 24..30 || s in 45..50), zoneEvidence("b", false)) }
        assertEquals(
            listOf(
                "0 a suspect 1", "6 a lost 1", "11 a returning 1", "16 a returning 2", "21 a returning 3",
                "24 a lost 2", "31 a returning 2", "38 a returning 3",
                "45 a lost 2", "51 a returning 2", "59 a returning 3", "67 a healthy 1",
            ),
            changes,
        )
        assertEquals(listOf(5_000L, 6_250L, 7_500L, 7_500L), (0..3).map { ZoneTimes(10.0).stepMs(it) })
    }

    @Test
    fun `a permanently lost zone is probed with few machines until it sends heartbeats`() {
        val changes = runFor(90) { s -> mapOf(zoneEvidence("a", s < 30, if (s in 30..79) 0 else 16), zoneEvidence("b", false)) }
        assertEquals("66 a returning 0", changes[2])
        assertEquals("80 a returning 1", changes[3])
        val probed = ZoneRecord.healthy("a", 0)
            .copy(state = ZoneState.RETURNING, step = ReturnRamp.PROBE_STEP, machines = 400)
        assertEquals(ReturnRamp.PROBE_MACHINES, ReturnRamp.limit(probed))
        assertTrue(probed.isRecovering(nowMs = 50_000, probeTimeoutMs = 100_000))
        assertFalse(probed.isRecovering(nowMs = 150_000, probeTimeoutMs = 100_000))
    }

    @Test
    fun `the ramp opens an eighth, a quarter, half and all of the machines`() {
        val returning = ZoneRecord.healthy("a", 0).copy(state = ZoneState.RETURNING, machines = 400)
        assertEquals(listOf(50, 100, 200, 400), (1..4).map { ReturnRamp.limit(returning.copy(step = it)) })
        assertNull(ReturnRamp.limit(ZoneRecord.healthy("a", 0)))
        assertEquals(0, ReturnRamp.limit(returning.copy(state = ZoneState.LOST)))
    }

    @Test
    fun `inconclusive evidence does not make a zone suspect`() {
        val members = listOf("n-0", "n-1", "n-2")
        val cases = mapOf(
            "another controller gets misrouted heartbeats of the zone" to reported(
                "n-0" to mapOf("a" to covered(9, none), "b" to covered(9, most)),
                "n-1" to mapOf("a" to covered(0, HeartbeatCoverage.SOME), "b" to covered(9, most)),
                "n-2" to mapOf("b" to covered(9, most)),
            ),
            "another owner of machines in the zone gets heartbeats" to reported(
                "n-0" to mapOf("a" to covered(5, none), "b" to covered(9, most)),
                "n-1" to mapOf("a" to covered(5, most), "b" to covered(9, most)),
                "n-2" to mapOf("b" to covered(9, most)),
            ),
            "the owner has only just taken over the shard" to reported(
                "n-0" to mapOf("a" to covered(9, HeartbeatCoverage.UNKNOWN), "b" to covered(9, most)),
                "n-1" to mapOf("b" to covered(9, most)),
                "n-2" to mapOf("b" to covered(9, most)),
            ),
            "the zone has only two machines" to reported(
                "n-0" to mapOf("a" to covered(2, none), "b" to covered(9, most)),
                "n-1" to mapOf("b" to covered(9, most)),
                "n-2" to emptyMap(),
            ),
            "all zones are unreachable at once" to reported(
                "n-0" to mapOf("a" to covered(9, none), "b" to covered(9, none)),
                "n-1" to mapOf("b" to covered(9, none)),
                "n-2" to emptyMap(),
            ),
            "some members have not reported yet" to reported(
                "n-0" to mapOf("a" to covered(9, none), "b" to covered(9, most)),
            ),
        )
        for ((case, reported) in cases) {
            val evidence = ZoneEvidence.of(members, reported).orEmpty()
            assertEquals(emptyList<String>(), runFor(60) { evidence }, case)
        }
        val lost = reported(
            "n-0" to mapOf("a" to covered(9, none), "b" to covered(9, most)),
            "n-1" to mapOf("b" to covered(9, most)),
            "n-2" to emptyMap(),
        )
        assertEquals("6 a lost 1", runFor(60) { ZoneEvidence.of(members, lost).orEmpty() }[1])
    }

    @Test
    fun `coverage depends on the share of reporting machines`() {
        val cases = listOf(
            Triple(10, 6, true) to HeartbeatCoverage.MOST,
            Triple(10, 2, true) to HeartbeatCoverage.SOME,
            Triple(10, 1, true) to HeartbeatCoverage.NONE,
            Triple(10, 0, false) to HeartbeatCoverage.UNKNOWN,
            Triple(0, 0, true) to HeartbeatCoverage.NONE,
        )
        for ((case, expected) in cases) {
            assertEquals(expected, HeartbeatCoverage.of(case.first, case.second, case.third), "$case")
        }
    }

    @Test
    fun `a stored record is decoded unchanged`() {
        val record = ZoneRecord(
            "a",
            ZoneState.RETURNING,
            incarnation = 3,
            sinceMs = 1_700_000_000_000,
            machines = 120,
            step = 2,
            flapCount = 1,
            lostMs = 1_699_999_990_000,
            lossEndedMs = 1_699_999_999_000,
            version = 9uL,
        )
        val stored = Cbor.decode(Cbor.encode(ZoneCodec.encode(record)))
        assertEquals(record, ZoneCodec.decode(stored, "live/zone/a", 9uL))
    }
}
