package flaxfield.fleet

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
class FleetReconciler(private val hub: NodeContext, private val cloud: CloudClient, settlement: TaskCompletion) {
    private val rate = CloudRate(hub.settings.cloudRps)
    private val demand = FleetDemand(hub)
    private val returns = MachineReturner(hub, cloud, rate, settlement)

    private class Refusal(val untilNs: Long, val times: Int)

    private var leading = false
    private var termSeen: ULong? = null
    private var termSinceNs = 0L
    private var flavorsOpen = false
    private var nextFlavorsNs = 0L
    private var nextPlanNs = 0L
    private var hireCount = 0
    private val asking = HashMap<String, Long>()

    /** Hires that have a clear answer, until it is written down. */
    private val granted = HashMap<String, List<String>>()
    private val refused = HashMap<Offer, Refusal>()
    private val idleSinceNs = HashMap<String, Long>()

    fun run() {
        demand.watchArrivals()
        if (!hub.leads()) {
            if (leading) forget()
            return
        }
        if (!leading) {
            leading = true
            log.info("leader under term={}: dealing with the cloud", hub.term())
        }
        if (hub.term() != termSeen) {
            termSeen = hub.term()
            termSinceNs = hub.nowNs
            nextPlanNs = hub.nowNs + (hub.settings.workers.leaseS * FIRST_PLAN_SHARE * NS).toLong()
        }
        askFlavors()
        askHires()
        returns.run()
        if (hub.nowNs >= nextPlanNs && hub.world.flavors.isNotEmpty()) {
            nextPlanNs = hub.nowNs + (hub.settings.workers.reportS * PLAN_REPORTS * NS).toLong()
            noteUp()
            retire()
            rent()
        }
    }

    private fun forget() {
        leading = false
        returns.forget()
        idleSinceNs.clear()
        asking.clear()
        granted.clear()
        nextFlavorsNs = 0
    }

    private fun askFlavors() {
        if (flavorsOpen || hub.nowNs < nextFlavorsNs || hub.isBusy(StoreKeys.TYPES)) return
        if (hub.world.flavors.isNotEmpty() && hub.nowMs - hub.world.flavorsAtMs < FLAVORS_S * MS) return
        if (!rate.allows(hub.nowNs)) return
        flavorsOpen = true
        cloud.flavors { got ->
            hub.post {
                flavorsOpen = false
                // Asked again soon until the view has them: their write may meet a new assignment, and without the
                // types no user is served. What the view has is asked for again only when it is old.
                nextFlavorsNs = hub.nowNs + (hub.settings.workers.reportS / 2 * NS).toLong()
                if (got != null && hub.leads()) {
                    val conditions = TaskCompletion.fence(hub) + (StoreKeys.TYPES to hub.world.stamp(StoreKeys.TYPES))
                    val put = Change.Put(StoreKeys.TYPES, FleetCodec.encodeFlavors(got.values, hub.nowMs))
                    hub.commit(Cause.FLEET, Txn(conditions, listOf(put)))
                }
            }
        }
    }

    /** Sends each written hire until it has a clear answer. */
    private fun askHires() {
        asking.keys.retainAll(hub.world.hires.keys)
        granted.keys.retainAll(hub.world.hires.keys)
        for (h in hub.world.hires.values.toList()) {
            if (hub.isBusy(StoreKeys.HIRE + h.name)) continue
            if (h.name in granted) {
                record(h)
                continue
            }
            if (hub.nowNs < (asking[h.name] ?: 0L)) continue
            if (!rate.allows(hub.nowNs)) return
            asking[h.name] = Long.MAX_VALUE
            cloud.rent(h) { r -> hub.post { rented(h, r) } }
        }
    }

    private fun rented(h: Rental, r: Rented) {
        log.info("hire={} flavor={} site={} lendable={} count={} answer={}", h.name, h.flavor, h.site, h.lendable, h.count, r)
        asking[h.name] = hub.nowNs + (hub.settings.workers.reportS / 2 * NS).toLong()
        val offer = Offer(h.flavor, h.site, h.lendable)
        when (r) {
            is Rented.Unclear -> return
            is Rented.NoCapacity, is Rented.Malformed -> refuse(offer)
            is Rented.Hosts -> if (r.names.size < h.count) refuse(offer) else refused.remove(offer)
        }
        // A clear answer is not asked for again while it is being written down.
        granted[h.name] = (r as? Rented.Hosts)?.names.orEmpty()
        if (hub.leads()) hub.world.hires[h.name]?.let(::record)
    }

    /**
     * Writes down the machines of an answered hire, some at a time. A rental of more than one transaction
     * takes was written in part, and its hire stood for ever as machines still to come.
     */
    private fun record(h: Rental) {
        val names = granted[h.name].orEmpty()
        if (names.any { hub.isBusy(StoreKeys.HOST + it) }) return
        val left = names.filter { it !in hub.world.machines }
        // The hire is dropped with the last of its hosts, so that none is forgotten in between.
        val room = hub.budget.bulk(hub.settings.stateLimits.txnOps - 1)
        val some = left.take(room)
        val changes = some.map {
            val m = Machine(it, h.flavor, h.site, h.lendable, MachinePhase.UP, hub.nowMs, null, 0uL)
            Change.Put(StoreKeys.HOST + it, FleetCodec.encode(m))
        }
        val last = if (left.size <= room) listOf(Change.Drop(StoreKeys.HIRE + h.name)) else emptyList()
        val conditions = TaskCompletion.fence(hub) + (StoreKeys.HIRE + h.name to h.stamp) + some.associate { StoreKeys.HOST + it to 0uL }
        hub.commit(Cause.FLEET, Txn(conditions, changes + last))
    }

    private fun refuse(offer: Offer) {
        val times = (refused[offer]?.times ?: 0) + 1
        val wait = hub.settings.listLagS * (1 shl minOf(times - 1, REFUSED_DOUBLINGS))
        refused[offer] = Refusal(hub.nowNs + (wait * NS).toLong(), times)
    }

    private fun retire() {
        val w = hub.world
        val changes = ArrayList<Change>()
        val reasons = ArrayList<Triple<Machine, MachinePhase, String>>()
        val conditions = HashMap(TaskCompletion.fence(hub))
        val due = w.machines.values.mapNotNull { m ->
            if (m.phase == MachinePhase.RETIRING || hub.isBusy(StoreKeys.HOST + m.name)) return@mapNotNull null
            val why = reasonToRetire(m) ?: return@mapNotNull null
            val phase = if (why == SURPLUS) MachinePhase.DRAINING else MachinePhase.RETIRING
            if (phase == m.phase) null else Triple(m, phase, why)
        }
        // Tasks wait for the return of the machines that they are on: behind a thousand idle ones they did for minutes.
        for ((m, phase, why) in due.sortedBy { w.isEmpty(it.first.name) }) {
            if (changes.size >= hub.budget.bulk(hub.settings.stateLimits.txnOps)) break
            conditions[StoreKeys.HOST + m.name] = m.stamp
            changes += Change.Put(StoreKeys.HOST + m.name, FleetCodec.encode(m.copy(phase = phase, claim = null)))
            reasons += Triple(m, phase, why)
        }
        if (changes.isEmpty() || !hub.commit(Cause.FLEET, Txn(conditions, changes))) return
        for ((m, phase, why) in reasons) {
            log.info("host={} flavor={} term={} {} to be returned: {}", m.name, m.flavor, hub.term(), phase, why)
        }
    }

    private fun reasonToRetire(m: Machine): String? {
        val w = hub.world
        val flavor = w.flavors[m.flavor] ?: return null
        if (returns.failed(m.name)) return "listed as failed"
        val room = w.hostRoom(m.name) ?: return null
        val empty = w.isEmpty(m.name)
        val limit = hub.settings.workers.cancelS * CANCEL_SHARE * MS
        val overdue = if (w.halting.isEmpty()) {
            null
        } else {
            w.jobsOn(m.name).firstOrNull { j -> j.cancelledMs?.let { hub.nowMs - it > limit } ?: false }
        }
        return when {
            room.state == HostState.SILENT -> "silent"
            room.state == HostState.FAULTY -> "faulty"
            room.state == HostState.UNSEEN && empty && settled() && boot(m, flavor) == Boot.LOST -> "never came up"
            overdue != null -> "cancelled ${overdue.id} is still on it"
            else -> {
                val idle = idleSinceNs[m.name]
                val keep = flavor.readyS * hub.operator.keepIdleBoots
                when {
                    m.phase == MachinePhase.DRAINING -> if (empty) "drained" else null
                    idle == null || w.claimOn(m) != null || hub.nowNs - idle <= keep * NS -> null
                    empty -> "idle"
                    else -> SURPLUS
                }
            }
        }
    }

    /** How a machine that does not report stands; one that reported to an earlier owner is only being looked for. */
    private fun boot(m: Machine, flavor: MachineType): Boot = if (cameUp(m)) {
        Boot.COMING
    } else {
        Boot.of((hub.nowMs - m.sinceMs) / MS, flavor.readyS, (lastUpMs[m.flavor] ?: 0L) >= m.sinceMs)
    }

    private fun cameUp(m: Machine) = (hub.world.lastRoom(m.name)?.tenure ?: 0uL) > 0uL

    /** When the latest rented of the machines that are up was rented, by type. */
    private val lastUpMs = HashMap<String, Long>()

    private fun noteUp() {
        lastUpMs.clear()
        for (m in hub.world.machines.values) if (cameUp(m)) lastUpMs.merge(m.flavor, m.sinceMs, ::maxOf)
    }

    /**
     * Under a new term every machine is unseen until its worker has found its owner: counted from its
     * rental alone, each takeover returned the idle ones as never having come up.
     */
    private fun settled(): Boolean = hub.nowNs - termSinceNs > hub.settings.workers.leaseS * NS

    private fun rent() {
        val w = hub.world
        val bins = ArrayList<Bin>()
        val now = hub.nowNs
        val term = hub.term()
        for (m in w.machines.values.sortedBy { it.name }) {
            if (m.phase != MachinePhase.UP || w.claimOn(m) != null) continue
            val state = w.hostRoom(m.name)?.state ?: HostState.UNSEEN
            if (state != HostState.OK && state != HostState.UNSEEN) continue
            // Room that keeps not coming is not waited for: what is needed is rented in its place, once.
            if (state == HostState.UNSEEN && w.flavors[m.flavor]?.let { boot(m, it) != Boot.COMING } ?: false) continue
            bins += Bin(m.name, m.flavor, m.site, m.lendable, roomWithoutGuests(m) ?: continue)
        }
        for (h in w.hires.values) {
            val room = w.flavors[h.flavor]?.room ?: continue
            val coming = granted[h.name]?.count { it !in w.machines } ?: h.count
            repeat(coming) { bins += Bin(null, h.flavor, h.site, h.lendable, room) }
        }
        // Machines that save a booting one come first: cheap kinds before ordinary ones.
        // Among the ordinary ones those with images, so that spares are kept where gangs start soonest.
        val images = bins.associateWith { b -> b.host?.let(w::hostRoom)?.images?.size ?: 0 }
        bins.sortWith(compareBy({ if (it.lendable) 0 else 1 }, { -images.getValue(it) }))
        val mostNew = maxOf(MOST_PER_HIRE, (hub.settings.cloudRps * MOST_PER_HIRE * hub.settings.workers.reportS * PLAN_REPORTS).toInt())
        val packing = FleetRules.pack(demand.demands(), bins, w.flavors, mostNew, hub.reserved::rents, load()) { o ->
            val r = refused[o]
            val f = w.flavors[o.flavor]
            if (f == null || r != null && now < r.untilNs) {
                null
            } else if (o.lendable) {
                f.lowRate
            } else {
                f.rate
            }
        }
        // While arrays wait for room, those that fill a machine nobody else needs are worth its price.
        val backlog = w.jobs.values.any { !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= hub.nowMs }
        for (m in w.machines.values) {
            val idle = m.phase == MachinePhase.UP &&
                m.name !in packing.usedHosts &&
                (w.isEmpty(m.name) || !backlog && w.jobsOn(m.name).all { guest(it, m) }) &&
                w.hostRoom(m.name)?.state == HostState.OK
            if (idle) idleSinceNs.putIfAbsent(m.name, now) else idleSinceNs.remove(m.name)
        }
        idleSinceNs.keys.retainAll(w.machines.keys)
        for ((offer, n) in packing.rent) hire(offer, minOf(n, MOST_PER_HIRE))
    }

    /** Machines for each controller of a zone: a zone with one of three controllers gets a third of what may be anywhere. */
    private fun load(): Load {
        val machines = hub.world.machines.values.groupingBy { it.site }.eachCount()
        val nodes = hub.world.assignment?.members.orEmpty().groupingBy { it.zone }.eachCount()
        return Load { site, more -> ((machines[site] ?: 0) + more).toDouble() / maxOf(1, nodes[site] ?: 0) }
    }

    private fun guest(j: Job, m: Machine) = hub.reserved.guests(j.spec, m.flavor, m.lendable)

    /** What a machine has free once its guests have made way: with them counted, spares were rented twice. */
    private fun roomWithoutGuests(m: Machine): Room? {
        val free = hub.world.free(m) ?: return null
        return hub.world.jobsOn(m.name).filter { guest(it, m) }
            .fold(free) { room, j -> room + j.spec.need * hub.world.countOn(m.name, j.id) }
    }

    private fun hire(offer: Offer, n: Int) {
        val h = Rental("${hub.me.name}-${hub.me.incarnation}-${++hireCount}", offer.flavor, offer.site, offer.lendable, n, hub.nowMs, 0uL)
        val conditions = TaskCompletion.fence(hub) + (StoreKeys.HIRE + h.name to 0uL)
        val sent = hub.commit(Cause.FLEET, Txn(conditions, listOf(Change.Put(StoreKeys.HIRE + h.name, FleetCodec.encode(h)))))
        if (sent) {
            log.info(
                "hire={} flavor={} site={} lendable={} count={} term={} wanted",
                h.name,
                h.flavor,
                h.site,
                h.lendable,
                n,
                hub.term(),
            )
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")
        const val NS = 1e9
        const val MS = 1000.0
        const val SURPLUS = "surplus"
        const val FLAVORS_S = 60.0
        const val PLAN_REPORTS = 0.4

        /**
         * The first plan under a term waits this share of a lease: until workers have reported it could only guess, and
         * in a process that has just started it held up the leases of hundreds of them for two seconds.
         */
        const val FIRST_PLAN_SHARE = 0.2
        const val REFUSED_DOUBLINGS = 3

        /** PROTOCOL-flaxfield.md: at most so many machines a rental. */
        const val MOST_PER_HIRE = 50

        /** A cancelled task still there after this share of `cancel_s` costs its machine. */
        const val CANCEL_SHARE = 0.5
    }
}
