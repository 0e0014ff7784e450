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
import flaxfield.zones.AbandonOrders
import flaxfield.zones.FleetZoneRules

/**
 * Everything that a fleet file enables in one controller: snapshots for operators, drains and their orders. The owner
 * thread calls it, but for [reload].
 */
class FleetControl(parts: SubsystemParts, @Volatile private var config: FleetConfig) : Subsystem {
    private val context: ControllerContext = parts.context

    /** Publishes the cluster as this controller knows it. */
    val publisher = SnapshotPublisher(context.view).also { context.view.observer = it }

    private val orders = DrainOrders(context)
    private val abandons = AbandonOrders(context)
    private val drains = DrainReconciler(context)
    private val restores = RestoreReconciler(context, parts.health)
    private val intervalNs =
        (context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private var nextRunNs = 0L
    private var lossMarks = 0L

    init {
        context.zones?.rules = FleetZoneRules { publisher.current }
    }

    /**
     * Takes an operator's [order]; [done] is called on the owner thread. Refused until the view is complete: in the
     * empty view of a controller that has just started, every machine, zone and drain would be unknown.
     */
    fun order(order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) {
        if (!publisher.complete) return done(VIEW_INCOMPLETE)
        orders.submit(order, publisher.current, done)
    }

    /** Takes an operator's order to abandon what [jobClass] had in the lost [zone], like [order]. */
    fun abandon(zone: String, jobClass: String, done: (OrderResult<AbandonOrder>) -> Unit) {
        if (!publisher.complete) return done(VIEW_INCOMPLETE)
        abandons.submit(zone, jobClass, publisher.current, done)
    }

    /** Replaces the fleet file that this controller publishes. Safe from any thread. */
    fun reload(config: FleetConfig) {
        this.config = config
    }

    override fun onViewAdvanced() = publisher.publish()

    override fun tick() {
        if (context.nowNs < nextRunNs || !publisher.complete) return
        nextRunNs = context.nowNs + intervalNs
        val snapshot = publisher.current
        if (!context.leadership.mayAct()) return
        publishConfig(snapshot)
        restores.run(snapshot, publisher.jobsWithLosses + jobsInLedgers(snapshot))
        if (context.leadership.isLeader()) drains.run(snapshot)
    }

    private fun jobsInLedgers(snapshot: FleetSnapshot): List<String> =
        snapshot.ledgers.values.flatMap { ledger -> ledger.entries.keys.map { it.job } }

    /** Publishes this controller's fleet file to the others, where it differs from what is published. */
    private fun publishConfig(snapshot: FleetSnapshot) {
        val wanted = config.copy(incarnation = context.self.incarnation)
        val key = FleetKeys.CONFIG + context.self.name
        if (snapshot.configs[context.self.name] == wanted || context.transactions.isWritePending(key)) return
        val term = context.leadership.term() ?: return
        val changes = listOf(Change.Put(key, DrainCodec.encode(wanted)))
        context.transactions.submit(WriteCause.FLEET, Transaction(mapOf(StoreKeys.ASSIGNMENT to term), changes))
    }

    override fun lossRecord(): Change =
        Change.Put(FleetKeys.LOSS + context.self.name, mapOf("run" to context.self.incarnation, "mark" to ++lossMarks))

    /**
     * The capacity that the tasks on the next machines to be emptied need elsewhere: an evicted task that waits for a
     * machine to boot would occupy its team's budget for as long.
     */
    override fun demands(): List<CapacityDemand> =
        if (publisher.complete) SurgeDemand.of(publisher.current) else emptyList()

    private companion object {
        /** The interval between runs, in heartbeat intervals: heartbeats prove that evicted tasks run again. */
        const val INTERVAL_HEARTBEATS = 0.25

        val VIEW_INCOMPLETE = OrderResult.Refused(OrderFault.UNAVAILABLE, "this node is reading its view")
    }
}
