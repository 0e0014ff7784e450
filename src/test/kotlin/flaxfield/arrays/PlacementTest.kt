package flaxfield.arrays

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import flaxfield.store.TransactionSize
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PlacementTest {
    private fun place(spec: JobSpec, candidates: List<PlacementCandidate>, from: Int = 0, most: Int = 99) =
        ArrayPlacement.place(
            Samples.job(spec),
            candidates,
            TopologyConstraint(spec, emptyList()),
            from,
            ArrayPlacement.Limits(most),
        ).mapValues {
            it.value.machine.name
        }

    @Test
    fun `tasks much shorter than a boot take turns, others do not`() {
        // 25,000 tasks of 4 s took all free room at once, and rented as many machines again, to end moments later.
        fun spec(taskCount: Int, expectedRuntimeS: Double) =
            Samples.spec(taskCount = taskCount).copy(expectedRuntimeS = expectedRuntimeS)
        assertEquals(
            1459,
            ShortTaskPolicy.maxConcurrentTasks(spec(25_000, 4.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            256,
            ShortTaskPolicy.maxConcurrentTasks(spec(1_000, 4.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            Int.MAX_VALUE,
            ShortTaskPolicy.maxConcurrentTasks(spec(25_000, 20.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            1159,
            ShortTaskPolicy.placesToProvision(
                spec(25_000, 4.0),
                pending = 24_000,
                placed = 300,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
        assertEquals(
            0,
            ShortTaskPolicy.placesToProvision(
                spec(25_000, 4.0),
                pending = 24_000,
                placed = 1_500,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
        assertEquals(
            20,
            ShortTaskPolicy.placesToProvision(
                spec(100, 60.0),
                pending = 20,
                placed = 80,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
    }

    @Test
    fun `much smaller tasks do not fill the room that a job before them waits for`() {
        val big = Samples.spec(taskResources = Resources(5.0, 1.0, 18.0))
        val tiny = Samples.spec(id = "job-2", taskResources = Resources(0.25, 0.0, 1.0))
        val alike = Samples.spec(id = "job-3", taskResources = Resources(4.0, 1.0, 16.0))
        val candidates = listOf("h1" to 2.0, "h2" to 4.0, "h3" to 1.0).map { (h, cpus) ->
            Samples.candidate(h, Resources(cpus, 1.0, 64.0))
        }
        val held = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        held.reserve(big, tasks = 4, candidates) { it.machine.name != "h2" }
        // A machine holds three of its tasks: two are kept, of those that suit it.
        assertEquals(listOf(false, true, false), candidates.map { held.admits(tiny, it) })
        assertEquals(listOf(true, true, true), candidates.map { held.admits(alike, it) })
        val few = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        few.reserve(big, tasks = 1, candidates) { true }
        assertEquals(listOf(true, false, true), candidates.map { few.admits(tiny, it) })
    }

    @Test
    fun `one write takes so many tasks, machines and chunks, and a machine so many records`() {
        val spec = Samples.spec(taskCount = 24, taskResources = Resources(1.0, 0.0, 1.0))
        fun place(limits: ArrayPlacement.Limits, places: Int = 99, open: (Int) -> Boolean = { true }) =
            ArrayPlacement.place(
                Samples.job(spec),
                listOf("h1", "h2", "h3").map { Samples.candidate(it).apply { this.taskSlots = places } },
                TopologyConstraint(spec, emptyList()),
                6,
                limits,
                open,
            )
        assertEquals(24, place(ArrayPlacement.Limits(99)).size)
        assertEquals((6..9).toList(), place(ArrayPlacement.Limits(4)).keys.toList())
        assertEquals(setOf("h1"), place(ArrayPlacement.Limits(99, machines = 1)).values.map { it.machine.name }.toSet())
        assertEquals((6..15) + (0..5), place(ArrayPlacement.Limits(99, chunks = 2)).keys.toList())
        // A chunk that a write of ours is changing is left alone: another would only fail.
        assertEquals((16..23).toList(), place(ArrayPlacement.Limits(99)) { it == 2 }.keys.toList())
        assertEquals(6, place(ArrayPlacement.Limits(99), places = 2).size)
    }

    @Test
    fun `tasks go to cheap machines first, then to those with the image, and never beyond room or limit`() {
        val one = Resources(4.0, 1.0, 16.0)
        val candidates = {
            listOf(
                Samples.candidate("dear", one * 4),
                Samples.candidate("cheap", one * 2, preemptible = true),
                Samples.candidate("warm", one, preemptible = true, images = setOf("img-1")),
            )
        }
        assertEquals(mapOf(0 to "warm", 1 to "cheap", 2 to "cheap", 3 to "dear"), place(Samples.spec(), candidates()))
        assertEquals(mapOf(2 to "warm", 3 to "cheap"), place(Samples.spec(), candidates(), from = 2, most = 2))
        assertEquals(
            mapOf(0 to "dear", 1 to "dear", 2 to "dear", 3 to "dear"),
            place(Samples.spec(preemptible = false), candidates()),
        )
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(machineTypes = setOf("other")), candidates()))
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(), candidates(), most = 0))
    }

    @Test
    fun `zone rules count the tasks that are on machines now`() {
        val table = listOf(
            Triple(Samples.spec(zone = "b"), emptyList(), mapOf("a" to false, "b" to true)),
            Triple(Samples.spec(sameZone = true), listOf("a"), mapOf("a" to true, "b" to false)),
            Triple(Samples.spec(sameZone = true), emptyList(), mapOf("a" to true, "b" to true)),
            Triple(Samples.spec(spreadAcrossZones = true, taskCount = 5), listOf("a", "a"), mapOf("a" to true)),
            Triple(
                Samples.spec(spreadAcrossZones = true, taskCount = 5),
                listOf("a", "a", "a"),
                mapOf("a" to false, "b" to true),
            ),
            Triple(Samples.spec(spreadAcrossZones = true, taskCount = 1), emptyList(), mapOf("a" to true)),
        )
        for ((spec, placed, want) in table) {
            assertEquals(
                want,
                want.mapValues {
                    TopologyConstraint(spec, placed).allows(it.key)
                },
                "$spec $placed",
            )
        }
    }

    @Test
    fun `ordinary machines of a type that gangs need are left to them`() {
        val machineTypes =
            listOf(
                Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0),
                Samples.machineType("small", Resources(8.0, 2.0, 32.0), 6.0, 2.0),
            )
        val gang = Samples.job(
            Samples.spec(
                jobKind = JobKind.GANG,
                taskCount = 1,
                preemptible = false,
                taskResources = Resources(12.0, 4.0, 40.0),
            ),
            atMs = 100,
        )
        val r = GangCapacityReservation()
        r.update(listOf(gang), machineTypes, nowMs = 100, keepMs = 50)
        val saves = Samples.spec()
        val loses = Samples.spec(checkpointIntervalS = 0.0)
        assertEquals(
            listOf(false, true, true),
            listOf(
                r.isUnreservedFor(loses, "big", false),
                r.isUnreservedFor(loses, "big", true),
                r.isUnreservedFor(loses, "small", false),
            ),
        )
        // Tasks that save are cheap to evict: they may use such a machine while it is free.
        assertEquals(
            listOf(true, false),
            listOf(r.mayBackfill(saves, "big", false), r.mayBackfill(loses, "big", false)),
        )
        r.update(emptyList(), machineTypes, nowMs = 200, keepMs = 50)
        assertEquals(true, r.isUnreservedFor(loses, "big", false))
    }

    @Test
    fun `guests do not fill machines that waiting gangs will take`() {
        // They filled each machine as it came up, and were told to make way moments later.
        val machineTypes = listOf(Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0))
        val waits = Samples.job(
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4, preemptible = false, machineTypes = setOf("big")),
        )
        // the gangs, and how many machines no gang is on: spoken for
        val table = listOf(
            Triple(listOf(waits), 3, true),
            Triple(listOf(waits), 4, true),
            Triple(listOf(waits), 5, false),
            Triple(emptyList(), 3, false),
            Triple(listOf(waits.copy(cancelledMs = 1)), 3, false),
            Triple(listOf(waits.on(0 to "h", 1 to "h", 2 to "h", 3 to "h")), 3, false),
        )
        for ((gangs, open, want) in table) {
            val r = GangCapacityReservation()
            r.update(gangs, machineTypes, nowMs = 100, keepMs = 50)
            assertEquals(want, r.isClaimedByWaitingGangs("big", open), "$open open")
            assertEquals(false, r.isClaimedByWaitingGangs("small", open))
        }
    }

    @Test
    fun `arrays leave their team's limit room for its gangs`() {
        // Arrays that filled the limit made the team's gangs wait for minutes.
        val gang = { id: String, ms: Long ->
            Samples.job(Samples.spec(id = id, jobKind = JobKind.GANG, taskCount = 2), atMs = ms)
        }
        val r = GangCapacityReservation()
        r.update(listOf(gang("job-1", 10), gang("job-2", 20)), emptyList(), 30, 100)
        assertEquals(Resources(16.0, 4.0, 64.0), r.reservedQuota("red"))
        // What has waited long leaves it to earlier gangs only.
        assertEquals(listOf(0.0, 2.0, 4.0), listOf(10L, 20L, 21L).map { r.waitingGangQuota("red", it).gpus })
        r.update(listOf(gang("job-2", 20).on(0 to "h", 1 to "h")), emptyList(), 30, 100)
        assertEquals(Resources(8.0, 2.0, 32.0), r.reservedQuota("red"))
        r.update(emptyList(), emptyList(), 200, 100)
        assertEquals(Resources.NONE, r.reservedQuota("red"))
    }

    @Test
    fun `a part's summary is dealt into pages that each fit a value`() {
        // One value for the whole part was refused as too large: the leader then knew of no room at all.
        for (machines in listOf(1, 40, 240, 714, 3000)) {
            for (valueKb in listOf(4.0, 16.0, 32.0)) {
                val pages = ShardSummaryPages.count(machines, valueKb, 1)
                val rows = (0 until machines).map {
                    "host-%06d".format(it * 3)
                }.groupBy { ShardSummaryPages.page(it, pages) }
                val images = ShardSummaryPages.images((0 until 40).map { "bundle-%04d".format(it) })
                val room = MachineStatus(MachineHealth.NOTICE, 99uL, "10.123.123.123:65000", images)
                val largest = rows.values.maxBy { it.size }.associateWith { room }
                val size = TransactionSize.json(ShardSummaryCodec.encode(ShardSummary(ULong.MAX_VALUE, largest)))
                assertTrue(size <= valueKb * 1024, "$machines machines, $valueKb KiB, $pages pages: $size")
                assertEquals(pages, ShardSummaryPages.count(machines, valueKb, pages))
                assertEquals(
                    2 * pages,
                    ShardSummaryPages.count(1, valueKb, 2 * pages),
                    "pages are never joined under one term",
                )
            }
        }
        assertEquals(listOf("b", "c"), ShardSummaryPages.images(listOf("x".repeat(400), "b", "c")))
    }

    @Test
    fun `summaries survive the store`() {
        val s = ShardSummary(
            ULong.MAX_VALUE,
            mapOf(
                "h" to MachineStatus(MachineHealth.NOTICE, 3uL, "10.0.0.1:1", listOf("x", "y")),
            ),
        )
        assertEquals(s, ShardSummaryCodec.decode(Cbor.decode(Cbor.encode(ShardSummaryCodec.encode(s)))))
    }
}
