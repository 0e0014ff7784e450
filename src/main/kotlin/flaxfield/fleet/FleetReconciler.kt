package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.HostState
import flaxfield.jobs.Job
import flaxfield.jobs.Room
import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** The leader's dealings with the cloud: types, what to rent and what to give up; returns are [MachineReturner]'s. */
class FleetReconciler(private val context: NodeContext, private val cloud: CloudClient, completion: TaskCompletion) {
    private val rate = CloudRate(context.settings.cloudRps)
    private val demand = FleetDemand(context)
    private val rentals = RentalRequester(context, cloud, rate)
    private val returns = MachineReturner(context, cloud, rate, completion)

    private var leading = false
    private var termSeen: ULong? = null
    private var termSinceNs = 0L
    private var flavorsOpen = false
    private var nextFlavorsNs = 0L
    private var nextPlanNs = 0L
    private val idleSinceNs = HashMap<String, Long>()

    fun run() {
        demand.watchArrivals()
        if (!context.leads()) {
            if (leading) forget()
            return
        }
        if (!leading) {
            leading = true
            log.info("leader under term={}: dealing with the cloud", context.term())
        }
        if (context.term() != termSeen) {
            termSeen = context.term()
            termSinceNs = context.nowNs
            if (context.view.machines.isNotEmpty()) {
                nextPlanNs =
                    context.nowNs + (context.settings.workers.leaseS * FIRST_PLAN_SHARE * NANOS_PER_SECOND).toLong()
            }
        }
        askFlavors()
        rentals.ask()
        returns.run()
        if (context.nowNs >= nextPlanNs && context.view.machineTypes.isNotEmpty() && viewIsFresh()) {
            nextPlanNs = context.nowNs + (context.settings.workers.reportS * PLAN_REPORTS * NANOS_PER_SECOND).toLong()
            noteUp()
            retire()
            rent()
        }
    }

    /**
     * Whether the view surely shows what this node wrote a moment ago. On a view that stood still for 11 s, since a
     * watch's answer was lost, a hundred rentals of the same machines were written, and for a minute the cloud was
     * asked for nothing else.
     */
    private fun viewIsFresh(): Boolean = context.knowledge.within(
        (context.settings.workers.reportS * FRESH_REPORTS * NANOS_PER_SECOND).toLong(),
        context.nowNs,
    )

    private fun forget() {
        leading = false
        returns.forget()
        idleSinceNs.clear()
        rentals.forget()
        nextFlavorsNs = 0
    }

    private fun askFlavors() {
        if (flavorsOpen || context.nowNs < nextFlavorsNs || context.isBusy(StoreKeys.TYPES)) return
        if (context.view.machineTypes.isNotEmpty() &&
            context.nowMs - context.view.flavorsAtMs < FLAVORS_S * MILLIS_PER_SECOND
        ) {
            return
        }
        if (!rate.allows(context.nowNs)) return
        flavorsOpen = true
        cloud.machineTypes { got ->
            context.post {
                flavorsOpen = false
                // Asked again soon until the view has them: their write may meet a new assignment, and without the
                // types no user is served. What the view has is asked for again only when it is old.
                nextFlavorsNs = context.nowNs + (context.settings.workers.reportS / 2 * NANOS_PER_SECOND).toLong()
                if (got != null && context.leads()) {
                    val conditions =
                        TaskCompletion.fence(context) + (StoreKeys.TYPES to context.view.version(StoreKeys.TYPES))
                    val put = Change.Put(StoreKeys.TYPES, FleetCodec.encodeFlavors(got.values, context.nowMs))
                    context.commit(Cause.FLEET, Txn(conditions, listOf(put)))
                }
            }
        }
    }

    private class Retirement(val machine: Machine, val phase: MachinePhase, val why: String)

    /** Marks as many machines as one write takes as to be returned. */
    private fun retire() {
        val w = context.view
        val due = w.machines.values.mapNotNull(::retirement).associateBy { it.machine.name }
        val most = context.budget.bulk(context.settings.stateLimits.txnOps)
        val some = ReturnOrder.sort(context, due.values.map { it.machine }).take(most).mapNotNull { due[it.name] }
        if (some.isEmpty()) return
        val conditions =
            TaskCompletion.fence(context) + some.associate { StoreKeys.HOST + it.machine.name to it.machine.version }
        val changes = some.map { r ->
            Change.Put(
                StoreKeys.HOST + r.machine.name,
                FleetCodec.encode(r.machine.copy(phase = r.phase, claim = null)),
            )
        }
        if (!context.commit(Cause.FLEET, Txn(conditions, changes))) return
        for (r in some) {
            log.info(
                "host={} type={} zone={} term={} {} to be returned: {}",
                r.machine.name,
                r.machine.machineType,
                r.machine.zone,
                context.term(),
                r.phase,
                r.why,
            )
        }
    }

    private fun retirement(m: Machine): Retirement? {
        if (m.phase == MachinePhase.RETIRING || context.isBusy(StoreKeys.HOST + m.name)) return null
        if (context.zones?.mayReturn(m) == false) return null
        val why = reasonToRetire(m) ?: return null
        val phase = if (why == SURPLUS) MachinePhase.DRAINING else MachinePhase.RETIRING
        return if (phase == m.phase) null else Retirement(m, phase, why)
    }

    private fun reasonToRetire(m: Machine): String? {
        val w = context.view
        val machineType = w.machineTypes[m.machineType] ?: return null
        if (returns.failed(m.name)) return "listed as failed"
        val room = w.hostRoom(m.name) ?: return null
        val empty = w.isEmpty(m.name)
        val limit = context.settings.workers.cancelS * CANCEL_SHARE * MILLIS_PER_SECOND
        val overdue = if (w.halting.isEmpty()) {
            null
        } else {
            w.jobsOn(m.name).firstOrNull { j -> j.cancelledMs?.let { context.nowMs - it > limit } ?: false }
        }
        return when {
            room.state == HostState.SILENT -> if (context.zones?.givesUp(m) == false) null else "silent"
            room.state == HostState.FAULTY -> "faulty"
            room.state == HostState.UNSEEN && empty && settled() && boot(m, machineType) == Boot.LOST -> "never came up"
            overdue != null -> "cancelled ${overdue.id} is still on it"
            else -> {
                val idle = idleSinceNs[m.name]
                val keep = machineType.readyS * context.operator.keepIdleBoots
                when {
                    m.phase == MachinePhase.DRAINING -> if (empty) "drained" else null
                    idle == null || w.claimOn(m) != null || context.nowNs - idle <= keep * NANOS_PER_SECOND -> null
                    empty -> "idle"
                    else -> SURPLUS
                }
            }
        }
    }

    /** How a machine that does not report stands; one that reported to an earlier owner is only being looked for. */
    private fun boot(m: Machine, machineType: MachineType): Boot = if (cameUp(m)) {
        Boot.COMING
    } else {
        Boot.of(
            (context.nowMs - m.sinceMs) / MILLIS_PER_SECOND,
            machineType.readyS,
            (lastUpMs[m.machineType] ?: 0L) >= m.sinceMs,
        )
    }

    private fun cameUp(m: Machine) = (context.view.lastRoom(m.name)?.session ?: 0uL) > 0uL

    /** When the latest rented of the machines that are up was rented, by type. */
    private val lastUpMs = HashMap<String, Long>()

    private fun noteUp() {
        lastUpMs.clear()
        for (m in context.view.machines.values) if (cameUp(m)) lastUpMs.merge(m.machineType, m.sinceMs, ::maxOf)
    }

    /**
     * Under a new term every machine is unseen until its worker has found its owner: counted from its
     * rental alone, each takeover returned the idle ones as never having come up.
     */
    private fun settled(): Boolean = context.nowNs - termSinceNs > context.settings.workers.leaseS * NANOS_PER_SECOND

    private fun rent() {
        val w = context.view
        val bins = ArrayList<Bin>()
        val now = context.nowNs
        val term = context.term()
        for (m in w.machines.values.sortedBy { it.name }) {
            if (!m.takesWork || w.claimOn(m) != null || context.zones?.isReachable(m) == false) continue
            val state = w.hostRoom(m.name)?.state ?: HostState.UNSEEN
            if (state != HostState.OK && state != HostState.UNSEEN) continue
            // Room that keeps not coming is not waited for: what is needed is rented in its place, once.
            if (state == HostState.UNSEEN &&
                w.machineTypes[m.machineType]?.let { boot(m, it) != Boot.COMING } ?: false
            ) {
                continue
            }
            bins += Bin(m.name, m.machineType, m.zone, m.preemptible, roomWithoutGuests(m) ?: continue)
        }
        for (h in w.rentals.values) {
            val room = w.machineTypes[h.machineType]?.room ?: continue
            repeat(rentals.coming(h)) { bins += Bin(null, h.machineType, h.zone, h.preemptible, room) }
        }
        // Machines that save a booting one come first: cheap kinds before ordinary ones.
        // Among the ordinary ones those with images, so that spares are kept where gangs start soonest.
        val images = bins.associateWith { b -> b.host?.let(w::hostRoom)?.images?.size ?: 0 }
        bins.sortWith(compareBy({ if (it.preemptible) 0 else 1 }, { -images.getValue(it) }))
        val mostNew =
            maxOf(
                RentalRequester.MOST_PER_RENTAL,
                (
                    context.settings.cloudRps * RentalRequester.MOST_PER_RENTAL *
                        context.settings.workers.reportS *
                        PLAN_REPORTS
                    ).toInt(),
            )
        val mayRent = HashMap<String, Int>()
        val roomIn = { zone: String -> mayRent.getOrPut(zone) { context.zones?.mayRent(zone) ?: Int.MAX_VALUE } }
        val packing = FleetRules.pack(
            demand.demands(),
            bins,
            w.machineTypes,
            mostNew,
            context.reserved::rents,
            load(),
        ) { o ->
            val f = w.machineTypes[o.machineType]
            if (f == null || rentals.isRefused(o) || roomIn(o.zone) <= 0) {
                null
            } else if (o.preemptible) {
                f.lowRate
            } else {
                f.rate
            }
        }
        // While arrays wait for room, those that fill a machine nobody else needs are worth its price.
        val backlog = w.jobs.values.any {
            !it.isGang &&
                !it.cancelled &&
                it.pendingCount > 0 &&
                it.retryAtMs <= context.nowMs
        }
        for (m in w.machines.values) {
            val idle = m.takesWork &&
                m.name !in packing.usedHosts &&
                (w.isEmpty(m.name) || !backlog && w.jobsOn(m.name).all { guest(it, m) }) &&
                w.hostRoom(m.name)?.state == HostState.OK
            if (idle) idleSinceNs.putIfAbsent(m.name, now) else idleSinceNs.remove(m.name)
        }
        idleSinceNs.keys.retainAll(w.machines.keys)
        for ((offer, wanted) in packing.rent) {
            val n = minOf(wanted, RentalRequester.MOST_PER_RENTAL, roomIn(offer.zone))
            if (n <= 0) continue
            mayRent[offer.zone] = roomIn(offer.zone) - n
            rentals.want(offer, n)
        }
    }

    /**
     * Machines for each controller of a zone: a zone with one of three controllers gets a third of what may be
     * anywhere.
     */
    private fun load(): Load {
        val machines = context.view.machines.values.groupingBy { it.zone }.eachCount()
        val nodes = context.view.assignment?.members.orEmpty().groupingBy { it.zone }.eachCount()
        return Load { zone, more -> ((machines[zone] ?: 0) + more).toDouble() / maxOf(1, nodes[zone] ?: 0) }
    }

    private fun guest(j: Job, m: Machine) = context.reserved.guests(j.spec, m.machineType, m.preemptible)

    /** What a machine has free once its guests have made way: with them counted, spares were rented twice. */
    private fun roomWithoutGuests(m: Machine): Room? {
        val free = context.view.free(m) ?: return null
        return context.view.jobsOn(m.name).filter { guest(it, m) }
            .fold(free) { room, j -> room + j.spec.need * context.view.countOn(m.name, j.id) }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")
        const val SURPLUS = "surplus"
        const val FLAVORS_S = 60.0
        const val PLAN_REPORTS = 0.4

        /** How old the view may be for a plan, in report intervals: a lost answer is asked for again within one. */
        const val FRESH_REPORTS = 1.5

        /**
         * The first plan under a term waits this share of a lease: until workers have reported it could only guess, and
         * in a process that has just started it held up the leases of hundreds of them for two seconds.
         */
        const val FIRST_PLAN_SHARE = 0.2

        /** A cancelled task still there after this share of `cancel_s` costs its machine. */
        const val CANCEL_SHARE = 0.5
    }
}
