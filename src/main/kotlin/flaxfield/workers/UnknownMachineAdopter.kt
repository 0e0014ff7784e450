package flaxfield.workers

import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Creates the missing record of a machine that sends heartbeats. A record is missing if the cloud executed a rental
 * request whose response the controller had stopped waiting for.
 */
internal class UnknownMachineAdopter(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    /** Submits the record, unless it was deleted recently or a write of it is pending. */
    fun adopt(heartbeat: Heartbeat) {
        val key = StoreKeys.MACHINE + heartbeat.machineName
        if (workerHealth.wasRemoved(heartbeat.machineName) || context.transactions.isWritePending(key)) return
        val machine = Machine(
            heartbeat.machineName,
            heartbeat.machineType,
            heartbeat.zone,
            heartbeat.preemptible,
            MachinePhase.UP,
            context.nowMs,
            null,
            0uL,
        )
        val conditions = JobTransactions.assignmentFence(context) + (key to 0uL)
        val change = Change.Put(key, FleetCodec.encode(machine))
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, listOf(change)))
        log.info("event=machine_adopted machine={}", heartbeat.machineName)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
    }
}
