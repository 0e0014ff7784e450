package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.Resources
import flaxfield.jobs.TaskEventCommitter
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** The leader's dealings with the cloud: types, what to rent and what to give up; returns are [MachineReturner]'s. */
class FleetReconciler(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    taskEvents: TaskEventCommitter,
) {
    private val rate = CloudRate(context.settings.cloudRps)
    private val demand = FleetDemand(context)
    private val rentals = RentalRequester(context, cloud, rate)
    private val returns = MachineReturner(context, cloud, rate, taskEvents)

    private var leading = false
    private var termSeen: ULong? = null
    private var termSinceNs = 0L
    private var flavorsOpen = false
    private var nextFlavorsNs = 0L
    private var nextPlanNs = 0L
    private val idleSinceNs = HashMap<String, Long>()

    fun run() {
        demand.watchArrivals()
        if (!context.leadership.isLeader()) {
            if (leading) forget()
            return
        }
        if (!leading) {
            leading = true
            log.info("leader under term={}: dealing with the cloud", context.leadership.term())
        }
        if (context.leadership.term() != termSeen) {
            termSeen = context.leadership.term()
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
            nextPlanNs =
                context.nowNs +
                (context.settings.workers.heartbeatIntervalS * PLAN_HEARTBEATS * NANOS_PER_SECOND).toLong()
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
    private fun viewIsFresh(): Boolean = context.viewFreshness.within(
        (context.settings.workers.heartbeatIntervalS * FRESH_HEARTBEATS * NANOS_PER_SECOND).toLong(),
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
        if (flavorsOpen ||
            context.nowNs < nextFlavorsNs ||
            context.transactions.isWritePending(StoreKeys.MACHINE_TYPES)
        ) {
            return
        }
        if (context.view.machineTypes.isNotEmpty() &&
            context.nowMs - context.view.machineTypesWrittenMs < FLAVORS_S * MILLIS_PER_SECOND
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
                nextFlavorsNs =
                    context.nowNs + (context.settings.workers.heartbeatIntervalS / 2 * NANOS_PER_SECOND).toLong()
                if (got != null && context.leadership.isLeader()) {
                    val conditions =
                        JobTransactions.assignmentFence(context) +
                            (StoreKeys.MACHINE_TYPES to context.view.version(StoreKeys.MACHINE_TYPES))
                    val put = Change.Put(StoreKeys.MACHINE_TYPES, FleetCodec.encodeFlavors(got.values, context.nowMs))
                    context.transactions.submit(WriteCause.FLEET, Transaction(conditions, listOf(put)))
                }
            }
        }
    }

    private class Retirement(val machine: Machine, val phase: MachinePhase, val why: String)

    /** Marks as many machines as one write takes as to be returned. */
    private fun retire() {
        val w = context.view
        val due = w.machines.values.mapNotNull(::retirement).associateBy { it.machine.name }
        val most = context.transactions.budget.bulk(context.settings.stateLimits.txnOps)
        val some = ReturnOrder.sort(context, due.values.map { it.machine }).take(most).mapNotNull { due[it.name] }
        if (some.isEmpty()) return
        val conditions =
            JobTransactions.assignmentFence(context) +
                some.associate { StoreKeys.MACHINE + it.machine.name to it.machine.version }
        val changes = some.map { r ->
            Change.Put(
                StoreKeys.MACHINE + r.machine.name,
                FleetCodec.encode(r.machine.copy(phase = r.phase, reservation = null)),
            )
        }
        if (!context.transactions.submit(WriteCause.FLEET, Transaction(conditions, changes))) return
        for (r in some) {
            log.info(
                "machine={} machine_type={} zone={} term={} {} to be returned: {}",
                r.machine.name,
                r.machine.machineType,
                r.machine.zone,
                context.leadership.term(),
                r.phase,
                r.why,
            )
        }
    }

    private fun retirement(m: Machine): Retirement? {
        if (m.phase == MachinePhase.RETIRING ||
            context.transactions.isWritePending(StoreKeys.MACHINE + m.name)
        ) {
            return null
        }
        if (context.zones?.mayReturn(m) == false) return null
        val why = reasonToRetire(m) ?: return null
        val phase = if (why == SURPLUS) MachinePhase.DRAINING else MachinePhase.RETIRING
        return if (phase == m.phase) null else Retirement(m, phase, why)
    }

    private fun reasonToRetire(m: Machine): String? {
        val w = context.view
        val machineType = w.machineTypes[m.machineType] ?: return null
        if (returns.failed(m.name)) return "listed as failed"
        val room = w.machineStatus(m.name) ?: return null
        val empty = w.isEmpty(m.name)
        val limit = context.settings.workers.cancelS * CANCEL_SHARE * MILLIS_PER_SECOND
        val overdue = if (w.halting.isEmpty()) {
            null
        } else {
            w.jobsOn(m.name).firstOrNull { j -> j.cancelledMs?.let { context.nowMs - it > limit } ?: false }
        }
        return when {
            room.state == MachineHealth.SILENT -> if (context.zones?.mayReleaseSilent(m) == false) null else "silent"
            room.state == MachineHealth.FAULTY -> "faulty"
            room.state == MachineHealth.UNSEEN &&
                empty &&
                settled() &&
                boot(
                    m,
                    machineType,
                ) == Boot.LOST -> "never came up"
            overdue != null -> "cancelled ${overdue.id} is still on it"
            else -> {
                val idle = idleSinceNs[m.name]
                val keep = machineType.bootTimeS * context.operator.keepIdleBoots
                when {
                    m.phase == MachinePhase.DRAINING -> if (empty) "drained" else null
                    idle == null ||
                        w.activeReservation(
                            m,
                        ) != null ||
                        context.nowNs - idle <= keep * NANOS_PER_SECOND -> null
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
            machineType.bootTimeS,
            (lastUpMs[m.machineType] ?: 0L) >= m.sinceMs,
        )
    }

    private fun cameUp(m: Machine) = (context.view.lastKnownStatus(m.name)?.incarnation ?: 0uL) > 0uL

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
        val term = context.leadership.term()
        for (m in w.machines.values.sortedBy { it.name }) {
            if (!m.takesWork || w.activeReservation(m) != null || context.zones?.isReachable(m) == false) continue
            val state = w.machineStatus(m.name)?.state ?: MachineHealth.UNSEEN
            if (state != MachineHealth.OK && state != MachineHealth.UNSEEN) continue
            // Room that keeps not coming is not waited for: what is needed is rented in its place, once.
            if (state == MachineHealth.UNSEEN &&
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
        val images = bins.associateWith { b -> b.machineName?.let(w::machineStatus)?.images?.size ?: 0 }
        bins.sortWith(compareBy({ if (it.preemptible) 0 else 1 }, { -images.getValue(it) }))
        val mostNew =
            maxOf(
                RentalRequester.MAX_PER_RENTAL,
                (
                    context.settings.cloudRps * RentalRequester.MAX_PER_RENTAL *
                        context.settings.workers.heartbeatIntervalS *
                        PLAN_HEARTBEATS
                    ).toInt(),
            )
        val mayRent = HashMap<String, Int>()
        val roomIn = { zone: String -> mayRent.getOrPut(zone) { context.zones?.mayRent(zone) ?: Int.MAX_VALUE } }
        val packing = FleetRules.pack(
            demand.demands(),
            bins,
            w.machineTypes,
            mostNew,
            context.scheduling.reservations::isUnreservedFor,
            load(),
        ) { o ->
            val f = w.machineTypes[o.machineType]
            if (f == null || rentals.isRefused(o) || roomIn(o.zone) <= 0) {
                null
            } else if (o.preemptible) {
                f.spotPricePerHour
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
                w.machineStatus(m.name)?.state == MachineHealth.OK
            if (idle) idleSinceNs.putIfAbsent(m.name, now) else idleSinceNs.remove(m.name)
        }
        idleSinceNs.keys.retainAll(w.machines.keys)
        for ((offer, wanted) in packing.rent) {
            val n = minOf(wanted, RentalRequester.MAX_PER_RENTAL, roomIn(offer.zone))
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

    private fun guest(j: Job, m: Machine) =
        context.scheduling.reservations.isBackfill(j.spec, m.machineType, m.preemptible)

    /** What a machine has free once its guests have made way: with them counted, spares were rented twice. */
    private fun roomWithoutGuests(m: Machine): Resources? {
        val free = context.view.free(m) ?: return null
        return context.view.jobsOn(m.name).filter { guest(it, m) }
            .fold(free) { room, j -> room + j.spec.taskResources * context.view.countOn(m.name, j.id) }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")
        const val SURPLUS = "surplus"
        const val FLAVORS_S = 60.0
        const val PLAN_HEARTBEATS = 0.4

        /** How old the view may be for a plan, in report intervals: a lost answer is asked for again within one. */
        const val FRESH_HEARTBEATS = 1.5

        /**
         * The first plan under a term waits this share of a lease: until workers have reported it could only guess, and
         * in a process that has just started it held up the leases of hundreds of them for two seconds.
         */
        const val FIRST_PLAN_SHARE = 0.2

        /** A cancelled task still there after this share of `cancel_s` costs its machine. */
        const val CANCEL_SHARE = 0.5
    }
}
