package flaxfield.workers

import flaxfield.Samples
import flaxfield.arrays.MachineHealth
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.jobs.JobCodec
import flaxfield.jobs.TaskEvent
import flaxfield.membership.Member
import flaxfield.membership.MemberCodec
import flaxfield.net.HttpTransport
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class WorkerHealthTest {
    private var nowS = 100.0
    private val clock = object : Clock {
        override fun monotonicNs() = (nowS * 1e9).toLong()

        override fun wallClockMs() = (nowS * 1e3).toLong()
    }
    private val self = Member("n-0", "run1", "a")
    private val replica = ClusterReplica()
    private val noResponse = HttpTransport { _, _, _, _, _ -> }
    private val workerHealth =
        WorkerHealth(
            ControllerContext(
                Samples.settings(),
                OperatorSettings(),
                self,
                clock,
                StoreClient(noResponse, noResponse, 1),
                replica.view,
            ) {
                it()
            },
        )

    private fun put(key: String, value: Map<String, Any?>, version: ULong) =
        replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), version))

    private fun heartbeat(machineName: String) {
        val workerState = workerHealth.workerState(machineName)
        workerState.heartbeat =
            Heartbeat(machineName, "10.1.0.1:1", "big", "a", false, 1uL, 1uL, 3uL, null, emptyList())
        workerHealth.recordLiveness(workerState, "a")
    }

    private fun healthStates() = listOf("h1", "h2").map { workerHealth.health(it) }

    init {
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(self, listOf(self)), 3uL)
        for (name in listOf("h1", "h2")) put(StoreKeys.MACHINE + name, FleetCodec.encode(Samples.machine(name)), 4uL)
        workerHealth.observeTerm()
        nowS += 1
        for (name in listOf("h1", "h2")) heartbeat(name)
    }

    @Test
    fun `a pause of this process does not make machines unreachable`() {
        // A paused process receives no heartbeats: the first one after the pause must not make all other machines
        // unreachable.
        nowS += 5.0
        heartbeat("h1")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SILENT), healthStates())
        workerHealth.onProcessPause(5_000_000_000)
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), healthStates())
        nowS += 4.6
        heartbeat("h1")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SILENT), healthStates())
    }

    @Test
    fun `a machine is suspect after a failure until the job has been retried elsewhere`() {
        fun recordFailure(job: String, machineName: String) = workerHealth.recordTaskEvent(
            TaskEvent.Lost(job, 0, 1, machineName, "error", true),
            workerHealth.workerState(machineName),
        )
        fun putJob(id: String, vararg machineNames: String) = Samples.job(Samples.spec(id = id))
            .copy(failedMachines = machineNames.toList(), failureCount = machineNames.size)
            .let { put(StoreKeys.JOB + id, JobCodec.encodeHead(it), 10uL + machineNames.size.toULong()) }
        putJob("job-1", "h1")
        putJob("job-2")
        recordFailure("job-1", "h1")
        assertEquals(listOf(MachineHealth.SUSPECT, MachineHealth.OK), healthStates())
        putJob("job-1", "h1", "h2")
        recordFailure("job-1", "h2")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), healthStates())
        recordFailure("job-2", "h2")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SUSPECT), healthStates())
        // A completed task clears the suspicion.
        workerHealth.recordTaskEvent(TaskEvent.Completed("job-2", 1, 1), workerHealth.workerState("h2"))
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), healthStates())
    }
}
