package flaxfield.fleet

import flaxfield.arrays.HostState
import flaxfield.arrays.ZoneRule
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room
import flaxfield.jobs.Settlement
import flaxfield.jobs.TaskEvent
import flaxfield.node.Hub
import flaxfield.quota.JobOrder
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Keys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** The leader's dealings with the cloud: types, rentals, the list and returns. */
class FleetDesk(private val hub: Hub, private val cloud: CloudClient, private val settlement: Settlement) {
    private class Refusal(val untilNs: Long, val times: Int)

    private var leading = false
    private var termSeen: ULong? = null
    private var termSinceNs = 0L
    private var tokens = 0.0
    private var tokensNs = 0L
    private var flavorsOpen = false
    private var nextFlavorsNs = 0L
    private var listOpen = false
    private var nextListNs = 0L
    private var nextPlanNs = 0L
    private var returnOpen = false
    private var hireCount = 0
    private val asking = HashMap<String, Long>()

    /** Hires that have a clear answer, until it is written down. */
    private val granted = HashMap<String, List<String>>()
    private val refused = HashMap<Offer, Refusal>()
    private val idleSinceNs = HashMap<String, Long>()
    private val unknownSinceNs = HashMap<String, Long>()
    private val failed = HashSet<String>()

    /** When jobs of a class came, for the spare machines; filled from the view. */
    private val arrivals = HashMap<String, ArrayDeque<Job>>()
    private val counted = HashSet<String>()

    fun run() {
        watchArrivals()
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
        }
        askFlavors()
        askHires()
        giveBack()
        askList()
        if (hub.nowNs >= nextPlanNs && hub.world.flavors.isNotEmpty()) {
            nextPlanNs = hub.nowNs + (hub.settings.workers.reportS * PLAN_REPORTS * NS).toLong()
            retire()
            rent()
        }
    }

    private fun forget() {
        leading = false
        idleSinceNs.clear()
        unknownSinceNs.clear()
        asking.clear()
        granted.clear()
        nextListNs = 0
        nextFlavorsNs = 0
    }

    /** The cloud's limit with its burst of two seconds' worth, a little below. */
    private fun cloudAllows(): Boolean {
        val now = hub.nowNs
        val rate = hub.settings.cloudRps * CLOUD_SHARE
        tokens = if (tokensNs == 0L) rate else minOf(rate * 2, tokens + rate * (now - tokensNs) / NS)
        tokensNs = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private fun askFlavors() {
        if (flavorsOpen || hub.nowNs < nextFlavorsNs || hub.isBusy(Keys.TYPES)) return
        if (hub.world.flavors.isNotEmpty() && hub.nowMs - hub.world.flavorsAtMs < FLAVORS_S * MS) return
        if (!cloudAllows()) return
        flavorsOpen = true
        cloud.flavors { got ->
            hub.post {
                flavorsOpen = false
                // Asked again soon until the view has them: their write may meet a new assignment, and without the
                // types no user is served. What the view has is asked for again only when it is old.
                nextFlavorsNs = hub.nowNs + (hub.settings.workers.reportS / 2 * NS).toLong()
                if (got != null && hub.leads()) {
                    val conditions = Settlement.fence(hub) + (Keys.TYPES to hub.world.stamp(Keys.TYPES))
                    val put = Change.Put(Keys.TYPES, FleetCodec.encodeFlavors(got.values, hub.nowMs))
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
            if (hub.isBusy(Keys.HIRE + h.name)) continue
            if (h.name in granted) {
                record(h)
                continue
            }
            if (hub.nowNs < (asking[h.name] ?: 0L)) continue
            if (!cloudAllows()) return
            asking[h.name] = Long.MAX_VALUE
            cloud.rent(h) { r -> hub.post { rented(h, r) } }
        }
    }

    private fun rented(h: Hire, r: Rented) {
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
    private fun record(h: Hire) {
        val names = granted[h.name].orEmpty()
        if (names.any { hub.isBusy(Keys.HOST + it) }) return
        val left = names.filter { it !in hub.world.machines }
        // The hire is dropped with the last of its hosts, so that none is forgotten in between.
        val room = hub.budget.bulk(hub.settings.stateLimits.txnOps - 1)
        val some = left.take(room)
        val changes = some.map {
            val m = Machine(it, h.flavor, h.site, h.lendable, MachinePhase.UP, hub.nowMs, null, 0uL)
            Change.Put(Keys.HOST + it, FleetCodec.encode(m))
        }
        val last = if (left.size <= room) listOf(Change.Drop(Keys.HIRE + h.name)) else emptyList()
        val conditions = Settlement.fence(hub) + (Keys.HIRE + h.name to h.stamp) + some.associate { Keys.HOST + it to 0uL }
        hub.commit(Cause.FLEET, Txn(conditions, changes + last))
    }

    private fun refuse(offer: Offer) {
        val times = (refused[offer]?.times ?: 0) + 1
        val wait = hub.settings.listLagS * (1 shl minOf(times - 1, REFUSED_DOUBLINGS))
        refused[offer] = Refusal(hub.nowNs + (wait * NS).toLong(), times)
    }

    private fun askList() {
        if (listOpen || hub.nowNs < nextListNs || !cloudAllows()) return
        listOpen = true
        readList(null, ArrayList())
    }

    private fun readList(from: String?, soFar: ArrayList<Listed>) {
        cloud.list(from) { page ->
            hub.post {
                if (page == null) {
                    listOpen = false
                    nextListNs = hub.nowNs + (hub.settings.listLagS * NS).toLong()
                } else {
                    soFar += page.hosts
                    if (page.more && page.hosts.isNotEmpty()) readList(page.hosts.last().host, soFar) else listed(soFar)
                }
            }
        }
    }

    /** The list lags, so it is a hint, but for `failed`: a machine that has stopped by itself stays so. */
    private fun listed(hosts: List<Listed>) {
        listOpen = false
        nextListNs = hub.nowNs + (hub.settings.listLagS * LIST_LAGS * NS).toLong()
        for (l in hosts) {
            if (l.failed && l.host in hub.world.machines) failed += l.host
        }
        val unknown = hosts.map { it.host }.filter { it !in hub.world.machines }.toSet()
        unknownSinceNs.keys.retainAll(unknown)
        for (u in unknown) unknownSinceNs.putIfAbsent(u, hub.nowNs)
    }

    /** Returns what is marked as retiring, and machines listed for long that nobody knows. */
    private fun giveBack() {
        if (returnOpen) return
        val limit = ((hub.settings.listLagS * 2 + GONE_LISTED_S) * NS).toLong()
        val strangers = unknownSinceNs.filterValues { hub.nowNs - it > limit }.keys
        val retiring = hub.world.machines.values.filter { it.phase == MachinePhase.RETIRING && !hub.isBusy(Keys.HOST + it.name) }
            .map { it.name }
        val names = (retiring + strangers).take(MOST_RETURNED)
        if (names.isEmpty() || !cloudAllows()) return
        returnOpen = true
        cloud.giveBack(names) { ok ->
            hub.post {
                returnOpen = false
                log.info("hosts={} returned, answered={}", names, ok)
                if (ok) returned(names)
            }
        }
    }

    /** The answer to a return proves that the machine and everything on it is gone. */
    private fun returned(hosts: List<String>) {
        val empty = ArrayList<Machine>()
        for (host in hosts) {
            unknownSinceNs.remove(host)
            failed.remove(host)
            idleSinceNs.remove(host)
            val m = hub.world.machines[host] ?: continue
            if (!hub.leads()) continue
            val records = hub.world.on(host)
            for (r in records) {
                settlement.add(TaskEvent.Left(r.job.id, r.placed.index, r.placed.attempt, host, "machine returned", false))
            }
            if (records.isEmpty()) empty += m
        }
        for (some in empty.chunked(hub.budget.bulk(hub.settings.stateLimits.txnOps))) {
            val conditions = Settlement.fence(hub) + some.associate { Keys.HOST + it.name to it.stamp }
            hub.commit(Cause.FLEET, Txn(conditions, some.map { Change.Drop(Keys.HOST + it.name) }))
        }
    }

    private fun retire() {
        val w = hub.world
        val changes = ArrayList<Change>()
        val reasons = ArrayList<Triple<Machine, MachinePhase, String>>()
        val conditions = HashMap(Settlement.fence(hub))
        for (m in w.machines.values) {
            if (m.phase == MachinePhase.RETIRING || hub.isBusy(Keys.HOST + m.name)) continue
            val why = reasonToRetire(m) ?: continue
            val phase = if (why == SURPLUS) MachinePhase.DRAINING else MachinePhase.RETIRING
            if (phase == m.phase) continue
            if (changes.size >= hub.budget.bulk(hub.settings.stateLimits.txnOps)) break
            conditions[Keys.HOST + m.name] = m.stamp
            changes += Change.Put(Keys.HOST + m.name, FleetCodec.encode(m.copy(phase = phase, claim = null)))
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
        if (m.name in failed) return "listed as failed"
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
            room.state == HostState.UNSEEN &&
                empty &&
                settled() &&
                hub.nowMs - m.sinceMs > flavor.readyS * BOOT_FACTOR * MS -> "never came up"
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
            bins += Bin(m.name, m.flavor, m.site, m.lendable, roomWithoutGuests(m) ?: continue)
        }
        for (h in w.hires.values) {
            val room = w.flavors[h.flavor]?.room ?: continue
            val coming = granted[h.name]?.count { it !in w.machines } ?: h.count
            repeat(coming) { bins += Bin(null, h.flavor, h.site, h.lendable, room) }
        }
        // Machines that save a booting one come first: cheap kinds before ordinary ones.
        // Among the ordinary ones those with images, so that spares are kept where gangs start soonest.
        bins.sortWith(compareBy({ if (it.lendable) 0 else 1 }, { -(it.host?.let(w::hostRoom)?.images?.size ?: 0) }))
        val mostNew = maxOf(MOST_PER_HIRE, (hub.settings.cloudRps * MOST_PER_HIRE * hub.settings.workers.reportS * PLAN_REPORTS).toInt())
        val packing = FleetRules.pack(demands(), bins, w.flavors, mostNew, hub.reserved::rents, load()) { o ->
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
        val h = Hire("${hub.me.name}-${hub.me.incarnation}-${++hireCount}", offer.flavor, offer.site, offer.lendable, n, hub.nowMs, 0uL)
        val conditions = Settlement.fence(hub) + (Keys.HIRE + h.name to 0uL)
        val sent = hub.commit(Cause.FLEET, Txn(conditions, listOf(Change.Put(Keys.HIRE + h.name, FleetCodec.encode(h)))))
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

    private fun demands(): List<Demand> {
        val w = hub.world
        val use = hub.use()
        val guaranteed = hub.guaranteed()
        val term = hub.term()
        val claimed = w.machines.values.mapNotNullTo(HashSet()) { m -> w.claimOn(m)?.job }
        val waiting = w.jobs.values.filter { it.pendingCount > 0 && !it.cancelled && it.id !in claimed && it.retryAtMs <= hub.nowMs }
        val result = ArrayList<Demand>()
        // How fast tasks that fill cheap machines end: so fast the queue for them moves by itself.
        val endsPerS = w.jobs.values.filter { !it.isGang && it.spec.lendable }.sumOf { it.placedCount / maxOf(1.0, it.spec.expectS) }
        var ahead = 0
        for (j in JobOrder.sort(waiting, guaranteed, use, JobOrder.lateMs(hub.nowMs))) {
            val kept = if (j.isGang) Room.NONE else hub.reserved.ofLimit(j.spec.owner)
            val n = minOf(j.pendingCount, use.allows(j.spec.owner, j.spec.need, kept))
            if (n <= 0 || j.isGang && n < j.spec.shards) continue
            use.add(j.spec.owner, j.spec.need * n)
            if (!j.isGang && j.spec.lendable) ahead += n
            result += Demand(j.spec, n, pressing(j, if (endsPerS > 0.0) ahead / endsPerS else Double.MAX_VALUE))
        }
        return result + FleetRules.spares(rates(), ::lead, hub.operator.spareFactor, hub.operator.arraySpareFactor)
    }

    /**
     * Ordinary machines cost several times as much as cheap ones: a job that may use both gets them only
     * when it is long late, or soon when there are no cheap ones for it at all.
     */
    private fun pressing(j: Job, queueS: Double): Boolean {
        val ageS = (hub.nowMs - j.submittedMs) / MS
        val aims = hub.settings.objectives.filter { it.jobClass == j.spec.jobClass }
        if (FleetRules.pressesToStart(ageS, lead(j.spec), queueS, aims.filter { it.kind == "wait" }.map { it.withinS })) return true
        val within = aims.maxOfOrNull { it.withinS }
            ?: hub.settings.workers.cancelS
        val cheap = hub.world.machines.values.any { it.lendable && ZoneRule.kindAllowed(j.spec, it.flavor, it.site, true) }
        return ageS > within * (if (cheap) PRESSING_SHARE else PRESSING_SHARE_ALONE)
    }

    /** What a job of this shape waits for on a fresh machine: boot and image. */
    private fun lead(spec: JobSpec): Double {
        val f = hub.world.flavors.values.filter { flaxfield.jobs.Validation.allowed(spec, it) }.minByOrNull { it.rate } ?: return 0.0
        return f.readyS + spec.pullGb / f.fetchGbPerS
    }

    private fun rates(): List<ClassRate> {
        val from = hub.nowMs - (RATE_WINDOW_S * MS).toLong()
        return arrivals.values.mapNotNull { seen ->
            while (seen.isNotEmpty() && seen.first().submittedMs < from) seen.removeFirst()
            seen.lastOrNull()?.let { last -> ClassRate(last.spec, seen.sumOf { it.spec.shards } / RATE_WINDOW_S) }
        }
    }

    private fun watchArrivals() {
        val from = hub.nowMs - RATE_WINDOW_S * MS
        for (j in hub.world.jobs.values) {
            if (j.submittedMs < from || !counted.add(j.id)) continue
            val seen = arrivals.getOrPut(j.spec.jobClass) { ArrayDeque() }
            seen.addLast(j)
            if (seen.size > MOST_ARRIVALS) seen.removeFirst()
        }
        if (counted.size > MOST_COUNTED) counted.retainAll(hub.world.jobs.keys)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")
        const val NS = 1e9
        const val MS = 1000.0
        const val SURPLUS = "surplus"
        const val CLOUD_SHARE = 0.9
        const val FLAVORS_S = 60.0
        const val PLAN_REPORTS = 0.4
        const val LIST_LAGS = 1.0
        const val REFUSED_DOUBLINGS = 3

        /** PROTOCOL-flaxfield.md: a machine that dies stays listed for about 30 s more. */
        const val GONE_LISTED_S = 30.0
        const val MOST_RETURNED = 100

        /** PROTOCOL-flaxfield.md: at most so many machines a rental. */
        const val MOST_PER_HIRE = 50

        /** "Some machines take several times as long": after this many boot times it never comes. */
        const val BOOT_FACTOR = 3.2

        /** A cancelled task still there after this share of `cancel_s` costs its machine. */
        const val CANCEL_SHARE = 0.5

        /** A job that has waited this share of its longest aim is pressing; sooner where nothing cheap is to be had. */
        const val PRESSING_SHARE = 2.0
        const val PRESSING_SHARE_ALONE = 0.2
        const val RATE_WINDOW_S = 120.0
        const val MOST_ARRIVALS = 200
        const val MOST_COUNTED = 10_000
    }
}
