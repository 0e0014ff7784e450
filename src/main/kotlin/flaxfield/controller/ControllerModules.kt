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
 * The modules of one controller, wired to each other. All of them belong to the owner thread.
 *
 * @param replica the copy of the store whose view [context] holds
 * @param maxDirectCommands requests to workers that may be under way at once
 * @param subsystemFactory makes what a fleet file switches on; null without one
 */
internal class ControllerModules(
    context: ControllerContext,
    replica: ClusterReplica,
    transports: ControllerTransports,
    maxDirectCommands: Int,
    subsystemFactory: SubsystemFactory?,
) {
    /** Decides on the state of zones; null where zones are not watched. */
    val zones: ZoneReconciler? =
        if (context.operator.zoneRecovery || subsystemFactory != null) watchZones(context) else null
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

    /** What a fleet file switches on; null without one. */
    val subsystem: Subsystem? =
        subsystemFactory?.create(SubsystemParts(context, workerHealth))?.also { context.subsystem = it }

    private fun watchZones(context: ControllerContext): ZoneReconciler {
        context.zones = ZoneRecovery(context)
        return ZoneReconciler(context)
    }

    private companion object {
        const val CLOUD_TIMEOUT_MS = 4_000L
        const val DIRECT_TIMEOUT_MS = 2_000L
    }
}
