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

/** All that a fleet file switches on in one controller; the owner thread calls it. */
class FleetControl(parts: SubsystemParts, @Volatile private var config: FleetConfig) : Subsystem {
    private val context: ControllerContext = parts.context

    /** The cluster as this node knows it. */
    val publisher = SnapshotPublisher(context.view).also { context.view.observer = it }

    private val orders = DrainOrders(context)
    private val abandons = AbandonOrders(context)
    private val drains = DrainReconciler(context)
    private val restores = RestoreReconciler(context, parts.health)
    private val gapNs = (context.settings.workers.heartbeatIntervalS * GAP_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private var nextNs = 0L
    private var marks = 0L

    init {
        context.zones?.rules = FleetZoneRules { publisher.current }
    }

    /**
     * Takes an operator's order; [done] is called on the owner thread. Not before the view is complete: on the empty
     * one of a process that has just started, every machine, zone and drain was called unknown.
     */
    fun order(order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) {
        if (!publisher.complete) {
            return done(
                OrderResult.Refused(OrderFault.UNAVAILABLE, "this node is reading its view"),
            )
        }
        orders.take(order, publisher.current, done)
    }

    /** Takes an operator's order to give up on what [jobClass] had in the lost [zone], like [order]. */
    fun abandon(zone: String, jobClass: String, done: (OrderResult<AbandonOrder>) -> Unit) {
        if (!publisher.complete) {
            return done(
                OrderResult.Refused(OrderFault.UNAVAILABLE, "this node is reading its view"),
            )
        }
        abandons.take(zone, jobClass, publisher.current, done)
    }

    /** From here on [config] is what this node publishes as its file. Safe from any thread. */
    fun reload(config: FleetConfig) {
        this.config = config
    }

    override fun onViewAdvanced() = publisher.publish()

    override fun tick() {
        if (context.nowNs < nextNs || !publisher.complete) return
        nextNs = context.nowNs + gapNs
        val snapshot = publisher.current
        if (!context.leadership.mayAct()) return
        publishConfig(snapshot)
        restores.run(
            snapshot,
            publisher.jobsWithLosses + snapshot.ledgers.values.flatMap { l -> l.entries.keys.map { it.job } },
        )
        if (context.leadership.isLeader()) drains.run(snapshot)
    }

    /** Tells the others what this node's file says. */
    private fun publishConfig(snapshot: FleetSnapshot) {
        val wanted = config.copy(incarnation = context.self.incarnation)
        val key = FleetKeys.CONFIG + context.self.name
        if (snapshot.configs[context.self.name] == wanted || context.transactions.isWritePending(key)) return
        val conditions = mapOf(StoreKeys.ASSIGNMENT to (context.leadership.term() ?: return))
        context.transactions.submit(
            WriteCause.FLEET,
            Transaction(conditions, listOf(Change.Put(key, DrainCodec.encode(wanted)))),
        )
    }

    override fun lossMark(): Change =
        Change.Put(FleetKeys.LOSS + context.self.name, mapOf("run" to context.self.incarnation, "mark" to ++marks))

    /**
     * The tasks on the next machines to be emptied, as demands for room elsewhere: a stopped task that had to wait for
     * a boot would keep its team's budget spent for as long.
     */
    override fun demands(): List<CapacityDemand> =
        if (publisher.complete) SurgeDemand.of(publisher.current) else emptyList()

    private companion object {
        /** How often drains are looked at, in report intervals: proofs come with reports. */
        const val GAP_HEARTBEATS = 0.25
    }
}

/** Pure: for which tasks room is to be rented before they are stopped. */
object SurgeDemand {
    /** The demands of the first machines of each drain that could be emptied, up to the surge that all files allow. */
    fun of(snapshot: FleetSnapshot): List<CapacityDemand> {
        val policy = snapshot.policy() ?: return emptyList()
        val active = snapshot.drains.values.filter { it.phase == DrainPhase.ACTIVE }.mapTo(HashSet()) { it.id }
        if (active.isEmpty()) return emptyList()
        val next = snapshot.machines.values.filter {
            it.cordon in active
        }.sortedBy { it.name }.take(policy.surgeMachines)
            .mapTo(HashSet()) { it.name }
        if (next.isEmpty()) return emptyList()
        val availability = Availability(snapshot, policy)
        val movable = snapshot.jobs.values.filter { job ->
            // What is never stopped needs no room elsewhere.
            val unit = Capacity.of(job.spec) * (if (job.isGang) job.spec.taskCount else 1)
            !job.cancelled &&
                policy.repeat(job.spec.jobClass).allows(job.spec) &&
                availability.of(job.spec.team).everPermits(unit)
        }
        return movable.mapNotNull { job ->
            val tasks = job.allPlaced().count { it.machineName in next && !it.stopping }
            if (tasks == 0) null else CapacityDemand(job.spec, if (job.isGang) job.spec.taskCount else tasks)
        }
    }
}
