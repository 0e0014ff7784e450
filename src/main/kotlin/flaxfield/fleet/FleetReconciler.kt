package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import org.slf4j.LoggerFactory

/**
 * Autoscales the fleet on the leader: refreshes the machine types, scales out and in, and plans at a fixed interval
 * which machines to retire and which to rent. Confined to the owner thread.
 */
class FleetReconciler(private val context: ControllerContext, cloud: CloudClient, taskEvents: TaskEventCommitter) {
    private val rateLimiter = CloudRateLimiter(context.settings.cloudRps)
    private val machineTypeRefresher = MachineTypeRefresher(context, cloud, rateLimiter)
    private val scaleOut = ScaleOutReconciler(context, cloud, rateLimiter)
    private val scaleIn = ScaleInReconciler(context, cloud, rateLimiter, taskEvents)
    private val capacityPlanner = CapacityPlanner(context)
    private val bootMonitor = BootMonitor(context.view)
    private val idleMachines = IdleMachines()
    private val retirementPlanner = RetirementPlanner(context, scaleIn, bootMonitor, idleMachines)
    private val scaleOutPlanner = ScaleOutPlanner(context, capacityPlanner, scaleOut, bootMonitor, idleMachines)

    private var wasLeader = false
    private var lastTerm: ULong? = null
    private var termStartNs = 0L
    private var nextPlanNs = 0L

    /** Runs one reconciliation pass; called at every tick, on followers as well. */
    fun run() {
        capacityPlanner.recordArrivals()
        if (!context.leadership.isLeader()) {
            if (wasLeader) reset()
            return
        }
        if (!wasLeader) {
            wasLeader = true
            log.info("event=fleet_reconciliation_started term={}", context.leadership.term())
        }
        if (context.leadership.term() != lastTerm) onNewTerm()
        machineTypeRefresher.refresh()
        scaleOut.run()
        scaleIn.run()
        if (context.nowNs >= nextPlanNs && context.view.machineTypes.isNotEmpty() && isViewFresh()) plan()
    }

    private fun onNewTerm() {
        lastTerm = context.leadership.term()
        termStartNs = context.nowNs
        if (context.view.machines.isNotEmpty()) {
            nextPlanNs = context.nowNs + secondsToNs(context.settings.workers.leaseS * FIRST_PLAN_LEASES)
        }
    }

    private fun plan() {
        val heartbeatIntervalS = context.settings.workers.heartbeatIntervalS
        nextPlanNs = context.nowNs + secondsToNs(heartbeatIntervalS * ScaleOutPlanner.PLAN_INTERVAL_HEARTBEATS)
        bootMonitor.update()
        retirementPlanner.run(workersHadTimeToReport())
        scaleOutPlanner.run()
    }

    /**
     * Whether the view is recent enough to include this process's own writes. With a stale view the same machines
     * would be requested again.
     */
    private fun isViewFresh(): Boolean = context.viewFreshness.isWithin(
        secondsToNs(context.settings.workers.heartbeatIntervalS * MAX_VIEW_AGE_HEARTBEATS),
        context.nowNs,
    )

    /**
     * Whether every worker has had the time to find its owner in this term. Until then, a machine that has not
     * reported may still be up.
     */
    private fun workersHadTimeToReport(): Boolean =
        context.nowNs - termStartNs > context.settings.workers.leaseS * NANOS_PER_SECOND

    private fun reset() {
        wasLeader = false
        scaleIn.reset()
        idleMachines.clear()
        scaleOut.reset()
        scaleOutPlanner.reset()
        machineTypeRefresher.reset()
    }

    private fun secondsToNs(seconds: Double): Long = (seconds * NANOS_PER_SECOND).toLong()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** The maximum age of the view for a plan, in heartbeat intervals: a failed request is repeated within one. */
        const val MAX_VIEW_AGE_HEARTBEATS = 1.5

        /**
         * The delay of the first plan in a term, as a share of a lease. Workers report first, and the cost of the plan
         * in a process that has just started does not delay the renewal of their leases.
         */
        const val FIRST_PLAN_LEASES = 0.2
    }
}
