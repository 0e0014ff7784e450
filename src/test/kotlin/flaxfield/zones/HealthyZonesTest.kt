package flaxfield.zones

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.fleet.CapacityPlanner
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.ScaleInOrder
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.Priority
import flaxfield.jobs.TaskEvent
import flaxfield.membership.Member
import flaxfield.net.HttpTransport
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** With all zones healthy, a controller that watches them decides as one that does not. */
class HealthyZonesTest {
    private val clock = object : Clock {
        override fun monotonicNs() = 1L

        override fun wallClockMs() = NOW_MS
    }

    private fun jobs(random: Random): List<Job> = (1..40).map { n ->
        val spec = Samples.spec(
            "job-$n",
            if (random.nextInt(4) == 0) JobKind.GANG else JobKind.ARRAY,
            taskCount = random.nextInt(1, 6),
            priority = Priority.entries.random(random),
            team = listOf("red", "blue").random(random),
            jobClass = listOf("deed", "night").random(random),
        )
        val job = Samples.job(spec, atMs = NOW_MS - random.nextLong(0, 200_000))
        if (random.nextBoolean()) job.place(mapOf(0 to Job.Target("host-${random.nextInt(12)}", 1uL))) else job
    }

    private fun context(seed: Int, records: List<ZoneRecord>?): ControllerContext {
        val settings = Samples.settings().copy(
            teams = listOf(Samples.team("red", gpus = 6.0), Samples.team("blue")).associateBy { it.name },
        )
        val replica = ClusterReplica()
        val view = replica.view
        fun put(key: String, value: Map<String, Any?>) = replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), 1uL))
        for (n in 0 until 12) {
            val zone = if (n % 2 == 0) "a" else "b"
            put(StoreKeys.MACHINE + "host-$n", FleetCodec.encode(Samples.machine("host-$n", zone)))
        }
        for (job in jobs(Random(seed))) put(StoreKeys.JOB + job.id, JobCodec.encodeHead(job))
        for (record in records.orEmpty()) put(StoreKeys.ZONE + record.zone, ZoneCodec.encode(record))
        val noTransport = HttpTransport { _, _, _, _, _ -> }
        val context =
            ControllerContext(
                settings,
                OperatorSettings(),
                Member("n-0", "r", "a"),
                clock,
                StoreClient(noTransport, noTransport, 1),
                view,
            ) { it() }
        if (records != null) context.zones = ZoneRecovery(context)
        return context
    }

    private fun plan(context: ControllerContext): List<Any?> {
        val view = context.view
        val machines = view.machines.values.sortedBy { it.name }
        val waiting = view.jobs.values.filter { it.pendingCount > 0 }
        return listOf(
            context.scheduling.schedulingOrder(waiting, context.scheduling.teamUsage()).map { it.id },
            CapacityPlanner(context).demands().map { it.spec.id to it.isUrgent },
            ScaleInOrder.sort(context, machines).map { it.name },
            machines.map { context.zones?.acceptsPlacements(it) ?: true },
            machines.map { context.zones?.mayReturn(it) ?: true },
            machines.map { context.zones?.mayReleaseUnreachable(it) ?: true },
            listOf("a", "b").map { context.zones?.rentableMachines(it) ?: Int.MAX_VALUE },
        )
    }

    @Test
    fun `plans are equal without records, and with zones that are healthy again`() {
        val healthy = ZoneRecord.healthy("a", 0).copy(incarnation = 3, lostMs = 1_000, endedMs = 2_000, machines = 6)
        for (seed in 1..50) {
            val expected = plan(context(seed, null))
            assertEquals(expected, plan(context(seed, emptyList())), "seed $seed")
            assertEquals(expected, plan(context(seed, listOf(healthy))), "seed $seed")
        }
        // The plans can differ: a lost zone changes them.
        val lost = healthy.copy(state = ZoneState.LOST)
        assertNotEquals(plan(context(1, null)), plan(context(1, listOf(lost))))
    }

    @Test
    fun `a lost zone gets no work, and its most urgent machines are released first`() {
        val lost = ZoneRecord.healthy("a", NOW_MS).copy(state = ZoneState.LOST, incarnation = 1, machines = 6)
        val context = context(1, listOf(lost))
        val inside = context.view.machines.values.filter { it.zone == "a" }
        assertTrue(inside.none { context.zones?.acceptsPlacements(it) ?: true })
        assertEquals(0, context.zones?.rentableMachines("a"))
        val tier = { name: String ->
            context.view.jobsOn(name).minOfOrNull { PriorityTiers.tier(it.spec) } ?: Int.MAX_VALUE
        }
        val released = inside.filter { context.zones?.mayReleaseUnreachable(it) ?: false }
        assertTrue(
            released.isNotEmpty() &&
                released.size < inside.size &&
                released.maxOf { tier(it.name) } < inside.maxOf { tier(it.name) },
            "$released",
        )
        val order = ScaleInOrder.sort(context, inside).map { tier(it.name) }
        assertEquals(order.sorted(), order)
        val event = TaskEvent.Lost("job-1", 0, 1, "host-0", "machine returned", failed = false, outcomeUnknown = true)
        // Without a fleet file no class forbids a repeat.
        assertEquals(false, context.zones?.mustDefer(event))
    }

    private companion object {
        const val NOW_MS = 1_000_000L
    }
}
