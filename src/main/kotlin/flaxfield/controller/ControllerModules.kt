package flaxfield.controller

import flaxfield.arrays.ArrayScheduler
import flaxfield.fleet.CloudClient
import flaxfield.fleet.FleetReconciler
import flaxfield.gangs.GangScheduler
import flaxfield.jobs.JobRequestHandler
import flaxfield.jobs.StallMonitor
import flaxfield.jobs.TaskEventCommitter
import flaxfield.membership.MembershipManager
import flaxfield.peers.PeerGateway
import flaxfield.store.ClusterReplica
import flaxfield.workers.DirectCommandSender
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.HeartbeatHandler
import flaxfield.workers.WorkerHealth
import flaxfield.zones.ZoneReconciler
import flaxfield.zones.ZoneRecovery

/**
 * Creates the modules of one controller and connects them to each other. Only the owner thread uses them.
 *
 * @param replica the replica of the store whose view [context] exposes
 * @param maxDirectCommands the largest number of concurrent requests to workers
 * @param subsystemFactory creates the subsystem that a fleet file enables; null without a fleet file
 */
internal class ControllerModules(
    context: ControllerContext,
    replica: ClusterReplica,
    transports: ControllerTransports,
    maxDirectCommands: Int,
    subsystemFactory: SubsystemFactory?,
) {
    /** Decides the state of zones; null if zones are not monitored. */
    val zones: ZoneReconciler? =
        if (context.operator.zoneRecovery || subsystemFactory != null) createZoneReconciler(context) else null
    val peers = PeerGateway(context, transports.peer)
    val taskEvents = TaskEventCommitter(context)
    val workerHealth = WorkerHealth(context)
    val halts = HaltDispatcher(
        context,
        workerHealth,
        DirectCommandSender(DIRECT_TIMEOUT_MS, maxDirectCommands, transports.worker),
    )
    val heartbeats = HeartbeatHandler(context, taskEvents, peers, workerHealth, halts)
    val membership = MembershipManager(context)
    val gangs = GangScheduler(context)
    val arrays = ArrayScheduler(context, workerHealth, halts)
    val jobs = JobRequestHandler(context, arrays::placeOnSubmission)
    val fleet = FleetReconciler(context, CloudClient(transports.cloud, CLOUD_TIMEOUT_MS), taskEvents)
    val stalls = StallMonitor(context, taskEvents)
    val reflector = StoreReflector(context, replica, jobs, workerHealth)

    /** The subsystem that the fleet file enables; null without a fleet file. */
    val subsystem: Subsystem? =
        subsystemFactory?.create(SubsystemParts(context, workerHealth))?.also { context.subsystem = it }

    private fun createZoneReconciler(context: ControllerContext): ZoneReconciler {
        context.zones = ZoneRecovery(context)
        return ZoneReconciler(context)
    }

    private companion object {
        const val CLOUD_TIMEOUT_MS = 4_000L
        const val DIRECT_TIMEOUT_MS = 2_000L
    }
}
