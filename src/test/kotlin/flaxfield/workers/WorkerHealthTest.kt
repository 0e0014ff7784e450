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
    private val silence = HttpTransport { _, _, _, _, _ -> }
    private val workerHealth =
        WorkerHealth(
            ControllerContext(
                Samples.settings(),
                OperatorSettings(),
                self,
                clock,
                StoreClient(silence, silence, 1),
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
        workerHealth.recordSignOfLife(workerState, "a")
    }

    private fun states() = listOf("h1", "h2").map { workerHealth.state(it) }

    init {
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(self, listOf(self)), 3uL)
        for (name in listOf("h1", "h2")) put(StoreKeys.MACHINE + name, FleetCodec.encode(Samples.machine(name)), 4uL)
        workerHealth.observeTerm()
        nowS += 1
        for (name in listOf("h1", "h2")) heartbeat(name)
    }

    @Test
    fun `a pause of this process is not the workers' silence`() {
        // While this process is paused no worker is heard: the first heartbeat after it must not make all others
        // silent.
        nowS += 5.0
        heartbeat("h1")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SILENT), states())
        workerHealth.onProcessPause(5_000_000_000)
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), states())
        nowS += 4.6
        heartbeat("h1")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SILENT), states())
    }

    @Test
    fun `a machine with a failure waits for the job's next try`() {
        fun fails(job: String, machineName: String) = workerHealth.recordTaskEvent(
            TaskEvent.Lost(job, 0, 1, machineName, "error", true),
            workerHealth.workerState(machineName),
        )
        fun job(id: String, vararg hosts: String) =
            Samples.job(Samples.spec(id = id)).copy(failedMachines = hosts.toList(), failureCount = hosts.size)
                .let { put(StoreKeys.JOB + id, JobCodec.encodeHead(it), 10uL + hosts.size.toULong()) }
        job("job-1", "h1")
        job("job-2")
        fails("job-1", "h1")
        assertEquals(listOf(MachineHealth.SUSPECT, MachineHealth.OK), states())
        job("job-1", "h1", "h2")
        fails("job-1", "h2")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), states())
        fails("job-2", "h2")
        assertEquals(listOf(MachineHealth.OK, MachineHealth.SUSPECT), states())
        // A task that completes there clears the machine.
        workerHealth.recordTaskEvent(TaskEvent.Completed("job-2", 1, 1), workerHealth.workerState("h2"))
        assertEquals(listOf(MachineHealth.OK, MachineHealth.OK), states())
    }
}
