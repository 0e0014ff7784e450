package flaxfield.drain

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.controller.Subsystem
import flaxfield.controller.SubsystemParts
import flaxfield.fleet.CapacityDemand
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import flaxfield.zones.AbandonOrder

/**
 * The subsystem that a fleet file enables in a controller: snapshots for operators, drains and operators' orders. All
 * functions but [reload] must be called on the owner thread.
 */
class FleetControl(parts: SubsystemParts, @Volatile private var config: FleetConfig) : Subsystem {
    private val context: ControllerContext = parts.context

    /** Publishes snapshots of this controller's view of the cluster. */
    val publisher = SnapshotPublisher(context.view).also { context.view.observer = it }

    private val drainOrders = DrainOrders(context)
    private val abandonOrders = AbandonOrders(context)
    private val drainReconciler = DrainReconciler(context)
    private val restoreReconciler = RestoreReconciler(context, parts.health)
    private val intervalNs =
        (context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private var nextRunNs = 0L
    private var lossMarks = 0L

    init {
        context.zones?.rules = FleetZoneRules { publisher.current }
    }

    /**
     * Records an operator's [order]; [done] is called on the owner thread. Orders are refused until the view is
     * complete: a controller that has just started knows no machines, zones or drains.
     */
    fun order(order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) {
        if (!publisher.isComplete) return done(VIEW_INCOMPLETE)
        drainOrders.submit(order, publisher.current, done)
    }

    /** Records an operator's order to abandon the tasks of [jobClass] in the lost [zone]; see [order]. */
    fun abandon(zone: String, jobClass: String, done: (OrderResult<AbandonOrder>) -> Unit) {
        if (!publisher.isComplete) return done(VIEW_INCOMPLETE)
        abandonOrders.submit(zone, jobClass, publisher.current, done)
    }

    /** Replaces the fleet file that this controller publishes. Any thread may call it. */
    fun reload(config: FleetConfig) {
        this.config = config
    }

    override fun onViewAdvanced() = publisher.publish()

    override fun tick() {
        if (context.nowNs < nextRunNs || !publisher.isComplete) return
        nextRunNs = context.nowNs + intervalNs
        val snapshot = publisher.current
        if (!context.leadership.mayAct()) return
        publishConfig(snapshot)
        restoreReconciler.run(snapshot, publisher.jobsWithLosses + jobsInLedgers(snapshot))
        if (context.leadership.isLeader()) drainReconciler.run(snapshot)
    }

    private fun jobsInLedgers(snapshot: FleetSnapshot): List<String> =
        snapshot.ledgers.values.flatMap { ledger -> ledger.entries.keys.map { it.job } }

    /** Publishes this controller's fleet file if the published one differs. */
    private fun publishConfig(snapshot: FleetSnapshot) {
        val ownConfig = config.copy(incarnation = context.self.incarnation)
        val key = FleetKeys.CONFIG + context.self.name
        if (snapshot.configs[context.self.name] == ownConfig || context.transactions.isWritePending(key)) return
        val term = context.leadership.term() ?: return
        val changes = listOf(Change.Put(key, DrainCodec.encode(ownConfig)))
        context.transactions.submit(WriteCause.FLEET, Transaction(mapOf(StoreKeys.ASSIGNMENT to term), changes))
    }

    override fun lossRecord(): Change =
        Change.Put(FleetKeys.LOSS + context.self.name, mapOf("run" to context.self.incarnation, "mark" to ++lossMarks))

    /**
     * Returns the capacity that the tasks on the next machines to drain need on other machines. It is provisioned
     * ahead, since an evicted task that waits for a machine to boot would use its team's budget during the boot.
     */
    override fun demands(): List<CapacityDemand> =
        if (publisher.isComplete) SurgeDemand.of(publisher.current) else emptyList()

    private companion object {
        /** The interval between runs in heartbeat intervals; heartbeats prove that evicted tasks run again. */
        const val INTERVAL_HEARTBEATS = 0.25

        val VIEW_INCOMPLETE = OrderResult.Refused(
            OrderErrorCode.UNAVAILABLE,
            "this controller has not yet read the cluster state",
        )
    }
}
