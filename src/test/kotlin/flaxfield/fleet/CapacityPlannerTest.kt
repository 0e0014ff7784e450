package flaxfield.fleet

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.membership.Member
import flaxfield.net.HttpTransport
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CapacityPlannerTest {
    private val clock = object : Clock {
        override fun monotonicNs() = 1L

        override fun wallClockMs() = NOW_MS
    }
    private val noTransport = HttpTransport { _, _, _, _, _ -> }

    private fun gang(id: String, tasks: Int, priority: Priority, waitedS: Int): Job {
        val spec = Samples.spec(
            id,
            JobKind.GANG,
            tasks,
            priority,
            taskResources = Resources(12.0, 3.0, 40.0),
            preemptible = false,
        )
        return Samples.job(spec, atMs = NOW_MS - waitedS * 1_000L)
    }

    private fun demands(jobs: List<Job>): List<String> {
        val settings = Samples.settings().copy(
            teams = listOf(Samples.team("red", gpusMax = 10.0)).associateBy { it.name },
        )
        val replica = ClusterReplica()
        val view = replica.view
        for (job in jobs) {
            replica.apply(KeyUpdate(StoreKeys.JOB + job.id, Cbor.decode(Cbor.encode(JobCodec.encodeHead(job))), 1uL))
        }
        val store = StoreClient(noTransport, noTransport, 1)
        val context =
            ControllerContext(settings, OperatorSettings(), Member("n-0", "r", "a"), clock, store, view) { it() }
        return CapacityPlanner(context).demands().map { it.spec.id }
    }

    @Test
    fun `puts the gang that machines are reserved for first among the demands`() {
        // The team's quota admits only one of the two gangs: reservations and rentals must be for the same one.
        val large = gang("job-12", tasks = 3, Priority.HIGH, waitedS = 60)
        val urgent = gang("job-6", tasks = 2, Priority.PROD, waitedS = 60)
        assertEquals(listOf("job-12"), demands(listOf(urgent, large)))
        // The large gang is not overdue yet: the scheduling order decides.
        assertEquals(listOf("job-6"), demands(listOf(urgent, gang("job-12", tasks = 3, Priority.HIGH, waitedS = 10))))
        // The large gang exceeds its team's quota: no machines are reserved for it.
        assertEquals(listOf("job-6"), demands(listOf(urgent, gang("job-12", tasks = 4, Priority.HIGH, waitedS = 60))))
    }

    private companion object {
        const val NOW_MS = 1_000_000L
    }
}
