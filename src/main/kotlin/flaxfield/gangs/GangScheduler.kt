package flaxfield.gangs

import flaxfield.arrays.HostRoom
import flaxfield.arrays.HostState
import flaxfield.arrays.Seat
import flaxfield.arrays.ZoneRule
import flaxfield.fleet.Claim
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room
import flaxfield.jobs.TaskCompletion
import flaxfield.jobs.Urgency
import flaxfield.node.NodeContext
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUse
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Outcome
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** The leader's gangs: gate, round, claims, one commit. */
class GangScheduler(private val hub: NodeContext) {
    private class Parked(val untilNs: Long, val times: Int)

    private val parked = HashMap<String, Parked>()
    private val claimedSince = HashMap<String, Long>()

    /** Hosts whose claim for a gang is on its way: a second round meanwhile would claim, and clear, others too. */
    private val claiming = HashMap<String, List<String>>()

    private var nextLookNs = 0L

    /** Room for tasks of parked gangs at the last run: more of it wakes them. */
    private var lastFree = 0

    fun run() {
        if (!hub.leads()) {
            parked.clear()
            claimedSince.clear()
            claiming.clear()
            return
        }
        val term = hub.term() ?: return
        val w = hub.world
        val claims = w.claimed.mapNotNull { w.machines[it] }.filter { w.claimOn(it) != null }.groupBy { it.claim?.job.orEmpty() }
        claimedSince.keys.retainAll(claims.keys)
        val gangs = w.gangs.mapNotNull { w.jobs[it] }
        if (gangs.isEmpty() && claims.isEmpty()) return
        val use = hub.use()
        val guaranteed = hub.guaranteed()
        for ((id, machines) in claims) claimed(id, machines, use, term)
        claiming.values.removeIf { hosts -> hosts.none { hub.isBusy(StoreKeys.HOST + it) } }
        // Without a change left for claims, a hundred gangs were gone through at each turn in vain.
        if (!hub.maySpend(Cause.GANG, 1)) return
        val waiting = gangs.filter {
            it.placedCount == 0 &&
                !it.complete &&
                !it.cancelled &&
                it.retryAtMs <= hub.nowMs &&
                it.id !in claims &&
                it.id !in claiming &&
                !hub.isBusy(StoreKeys.JOB + it.id) &&
                GangRound.gate(it)
        }
        parked.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        val anyNew = waiting.any { it.id !in parked }
        if (!anyNew && hub.nowNs < nextLookNs) return
        val shapes = waiting.distinctBy { Kind(it.spec) }.map { it.spec }
        if (hub.nowNs >= nextLookNs) wake(shapes)
        if (!anyNew && waiting.none { j -> parked[j.id]?.let { hub.nowNs >= it.untilNs } ?: false }) return
        nextLookNs = hub.nowNs + (hub.settings.workers.reportS * LOOK_REPORTS * NS).toLong()
        val look = Look(seats(shapes), use, guaranteed, term)
        val late = hub.nowMs - (JobOrder.BEGIN_S * GATHER_SHARE * MS).toLong()
        val gathers = Gathering.next(waiting, late)
        val atLimit = gathers?.takeIf { use.allows(it.spec.owner, it.spec.need) < it.spec.shards }
        val ordered = JobOrder.sort(waiting, guaranteed, use, JobOrder.lateMs(hub.nowMs), hub::aimed)
        for (job in listOfNotNull(gathers) + ordered.filter { it !== gathers }) {
            // It leaves its team's limit to the other for a while only: behind one that never came under it, it waited for minutes.
            if (atLimit != null && !hub.waitedLong(job) && Gathering.yields(job, atLimit)) continue
            val p = parked[job.id]
            val parkedNow = p != null && hub.nowNs < p.untilNs
            if (!parkedNow && look.known.runs < MOST_ROUNDS) round(job, look)
            // What is there for the gang that gathers is no longer there for those after it; at its team's limit it has no use for it.
            if (job === gathers && job !== atLimit && job.id !in claiming) look.seats = Gathering.without(job, look.seats, look.cleared(job))
        }
    }

    /** What one run of the desk looks at, and what it has found out on the way. */
    private inner class Look(var seats: List<Seat>, val use: TeamUse, val guaranteed: Set<String>, val term: ULong) {
        val known = ShortRounds()
        private val evictable = HashMap<Rights, Map<String, Room>>()
        val busyWithGangs: List<Pair<Machine, HostRoom>> by lazy(LazyThreadSafetyMode.NONE) {
            val w = hub.world
            w.machines.values.filter { m -> m.phase == MachinePhase.UP && w.jobsOn(m.name).any { it.isGang } }
                .mapNotNull { m -> w.hostRoom(m.name)?.takeIf { it.state == HostState.OK }?.let { m to it } }
        }

        fun plain(job: Job): Round = known.run(job, "") { seats }

        /** The seats as they would be without the tasks that this gang may take the place of. */
        fun cleared(job: Job): List<Seat> {
            val room = evictable.getOrPut(rights(job)) { evictable(job) }
            return seats.map { s -> room[s.machine.name]?.let { Seat(s.machine, s.tenure, s.free + it, s.images, s.empty) } ?: s.copy() }
        }

        fun afterEviction(job: Job): Round = known.run(job, rights(job).toString()) { cleared(job) }

        /** A machine carries one claim at a time. */
        fun claimed(hosts: Set<String>) {
            seats = seats.filter { it.machine.name !in hosts }
        }

        private fun rights(job: Job): Rights {
            val within = job.id in guaranteed
            return Rights(job.spec.urgency, within, if (within) job.spec.owner else "", job.suspect)
        }

        private fun evictable(job: Job): Map<String, Room> {
            val w = hub.world
            val within = job.id in guaranteed
            val result = HashMap<String, Room>()
            for (s in seats) {
                var room = Room.NONE
                for (other in w.jobsOn(s.machine.name)) {
                    val n = when {
                        other.cancelled || mayEvict(job, within, other, use) -> w.countOn(s.machine.name, other.id)
                        other.id in w.halting -> w.on(s.machine.name).count { it.job.id == other.id && it.placed.stopping }
                        else -> 0
                    }
                    if (n > 0) room += other.spec.need * n
                }
                if (room !== Room.NONE) result[s.machine.name] = room
            }
            return result
        }
    }

    /** What decides whose tasks a gang may take the place of. */
    private data class Rights(val urgency: Urgency, val guaranteed: Boolean, val owner: String, val suspect: Boolean)

    /**
     * More room wakes the parked, counted in tasks like theirs: any task of an array that ended, anywhere, woke
     * them all before, and their rounds were the most that a leader spent its time on.
     */
    private fun wake(shapes: List<JobSpec>) {
        var free = 0
        for (m in hub.world.machines.values) {
            if (m.phase != MachinePhase.UP) continue
            val room = hub.world.free(m) ?: continue
            free += shapes.filter { ZoneRule.kindAllowed(it, m.flavor, m.site, m.lendable) }.sumOf { room.count(it.need) }
        }
        if (free > lastFree) parked.replaceAll { _, p -> Parked(0, p.times) }
        lastFree = free
    }

    /** What decides on which machines a gang may go and how many of its tasks fit there. */
    private data class Kind(val need: Room, val flavors: Set<String>?, val site: String?, val lendable: Boolean) {
        constructor(s: JobSpec) : this(s.need, s.flavors, s.site, s.lendable)
    }

    /** The machines that a gang of one of [shapes] could be on now, or once others have made way. */
    private fun seats(shapes: List<JobSpec>): List<Seat> = hub.world.machines.values.mapNotNull { m ->
        if (shapes.none { ZoneRule.kindAllowed(it, m.flavor, m.site, m.lendable) }) return@mapNotNull null
        seat(m)?.takeIf { s -> shapes.any { s.free.holds(it.need) } || mayEmpty(m.name) }
    }

    /** Whether anything on the machine might make way for a gang; most machines carry only gangs that run. */
    private fun mayEmpty(host: String) = hub.world.jobsOn(host).any { !it.isGang || it.cancelled || it.id in hub.world.halting }

    private fun seat(m: Machine): Seat? {
        if (m.phase != MachinePhase.UP || hub.world.claimOn(m) != null || hub.isBusy(StoreKeys.HOST + m.name)) return null
        val room = hub.world.hostRoom(m.name)?.takeIf { it.state == HostState.OK } ?: return null
        return seat(m, room)
    }

    private fun seat(m: Machine, room: HostRoom): Seat? {
        val free = hub.world.free(m) ?: return null
        return Seat(m, room.tenure, free, room.images, hub.world.isEmpty(m.name))
    }

    private fun round(job: Job, look: Look) {
        if (look.use.allows(job.spec.owner, job.spec.need) < job.spec.shards) return park(job, "the team's limit")
        val plain = look.plain(job)
        if (plain is Round.Full && (warm(job, plain) || !fetchIsSlow(job, plain))) return claim(job, plain.seats, evict = false, look)
        // Without room, or only where the image must be fetched for longer than tasks take to make way.
        val second = look.afterEviction(job)
        val best = if (second is Round.Full && (plain is Round.Short || warm(job, second))) second else plain
        if (best is Round.Full && !warm(job, best) && waitsForWarm(job, best, look)) {
            if (plain is Round.Full) giveBack(job, plain)
            return park(job, "waits for a machine with ${job.spec.bundle}")
        }
        when {
            second is Round.Full && (plain is Round.Short || warm(job, second)) -> {
                if (plain is Round.Full) giveBack(job, plain)
                claim(job, second.seats, evict = true, look)
            }
            plain is Round.Full -> claim(job, plain.seats, evict = false, look)
            plain is Round.Short -> park(job, "short: assumed ${plain.assumed}, left ${plain.left}")
        }
    }

    private fun warm(job: Job, r: Round.Full) = r.seats.values.all { job.spec.bundle in it.images }

    /** Whether the image takes longer to fetch than tasks that save take to make way. */
    private fun fetchIsSlow(job: Job, r: Round.Full): Boolean = fetchS(job, r) > hub.settings.workers.reportS * CLAIM_REPORTS

    private fun fetchS(job: Job, r: Round.Full): Double =
        r.seats.values.mapNotNull { hub.world.flavors[it.machine.flavor]?.fetchGbPerS }.minOrNull()?.let { job.spec.pullGb / it } ?: 0.0

    private fun waitsForWarm(job: Job, r: Round.Full, look: Look): Boolean {
        val aims = hub.settings.objectives.filter { it.kind == "wait" && it.jobClass == job.spec.jobClass }.map { it.withinS }
        val w = hub.world
        val busyWarm = look.busyWithGangs.count { (m, room) ->
            job.spec.bundle in room.images && ZoneRule.kindAllowed(job.spec, m.flavor, m.site, m.lendable)
        }
        val rivals = w.jobs.values.filter { it.isGang && !it.cancelled && it.placedCount == 0 && it.spec.bundle == job.spec.bundle }
            .sumOf { it.spec.shards }
        return WarmWait.waits((hub.nowMs - job.submittedMs) / MS, fetchS(job, r), aims, busyWarm, rivals)
    }

    private fun giveBack(job: Job, r: Round.Full) {
        for (s in r.seats.values) s.free += job.spec.need
    }

    private fun mayEvict(job: Job, guaranteed: Boolean, other: Job, use: TeamUse) =
        !other.isGang && JobOrder.mayPreempt(job, guaranteed, other, use)

    private fun claim(job: Job, seats: Map<Int, Seat>, evict: Boolean, look: Look) {
        val term = look.term
        val perHost = seats.values.groupingBy { it.machine }.eachCount()
        if (perHost.size > hub.settings.stateLimits.txnOps) return park(job, "more machines than one transaction takes")
        val conditions = HashMap(TaskCompletion.fence(hub))
        val changes = perHost.map { (m, n) ->
            conditions[StoreKeys.HOST + m.name] = m.stamp
            Change.Put(StoreKeys.HOST + m.name, FleetCodec.encode(m.copy(claim = Claim(job.id, term, n, evict, job.nextGangAttempt()))))
        }
        val sent = hub.commit(Cause.GANG, Txn(conditions, changes)) { outcome ->
            log.info("job={} term={} claims={} evict={} outcome={}", job.id, term, perHost.keys.map { it.name }, evict, outcome)
        }
        if (sent) {
            claiming[job.id] = perHost.keys.map { it.name }
            look.claimed(perHost.keys.mapTo(HashSet()) { it.name })
        } else {
            for (s in seats.values) s.free += job.spec.need
            log.debug("job={} claim waits for the write budget", job.id)
        }
    }

    /** A gang whose claims are in the view: its real room decides. */
    private fun claimed(id: String, machines: List<Machine>, use: TeamUse, term: ULong) {
        if (machines.any { hub.isBusy(StoreKeys.HOST + it.name) } || hub.isBusy(StoreKeys.JOB + id)) return
        val job = hub.world.jobs[id]
        if (job == null || !hub.maySpend(Cause.GANG, 1)) return
        val since = claimedSince.getOrPut(id) { hub.nowNs }
        val seats = machines.mapNotNull { m ->
            hub.world.hostRoom(m.name)?.takeIf { it.state == HostState.OK && m.phase == MachinePhase.UP }?.let { seat(m, it) }
        }
        val r = GangRound.run(job, seats)
        if (r is Round.Full) return commit(job, r.seats, machines, use, term)
        val patience = (hub.settings.workers.reportS * CLAIM_REPORTS + job.spec.saveS) * NS
        val hopeless = seats.size < machines.size || machines.none { it.claim?.evict == true }
        if (hopeless || hub.nowNs - since > patience) {
            release(id, machines, "claimed room is not there")
            park(job, "claimed room is not there")
        }
    }

    private fun commit(job: Job, seats: Map<Int, Seat>, machines: List<Machine>, use: TeamUse, term: ULong) {
        val team = hub.settings.teams[job.spec.owner] ?: return
        if (use.allows(team.name, job.spec.need) < job.spec.shards) {
            release(job.id, machines, "the team's limit")
            return park(job, "the team's limit")
        }
        val fenceKey = StoreKeys.TEAM + team.name
        if (team.limited && hub.isBusy(fenceKey)) return
        val attempt = job.nextGangAttempt()
        val next = job.place(seats.mapValues { (_, s) -> Job.Host(s.machine.name, s.tenure) }, attempt)
        val base = TaskCompletion.write(job, next, term)
        val conditions = HashMap(base.conditions)
        val changes = ArrayList(base.changes)
        for (m in machines) {
            // The claim ends with this very write: it is one for an attempt that is placed from then on.
            conditions[StoreKeys.HOST + m.name] = m.stamp
        }
        if (team.limited) {
            conditions[fenceKey] = hub.world.stamp(fenceKey)
            changes += Change.Put(fenceKey, mapOf("job" to job.id))
        }
        if (changes.size > hub.settings.stateLimits.txnOps) {
            release(job.id, machines, "more changes than one transaction takes")
            return park(job, "more changes than one transaction takes")
        }
        use.add(team.name, job.spec.need * job.spec.shards)
        hub.commit(Cause.GANG, Txn(conditions, changes)) { outcome ->
            if (outcome is Outcome.Committed) {
                for ((i, s) in seats) {
                    log.info("job={} task={} attempt={} host={} term={} gang placed", job.id, i, attempt, s.machine.name, term)
                }
            } else {
                log.info("job={} term={} gang commit outcome={}", job.id, term, outcome)
            }
        }
    }

    private fun release(id: String, machines: List<Machine>, why: String) {
        val conditions = HashMap(TaskCompletion.fence(hub))
        val changes = machines.take(hub.settings.stateLimits.txnOps).map { m ->
            conditions[StoreKeys.HOST + m.name] = m.stamp
            Change.Put(StoreKeys.HOST + m.name, FleetCodec.encode(m.copy(claim = null)))
        }
        if (hub.commit(Cause.GANG, Txn(conditions, changes))) log.info("job={} claims released: {}", id, why)
    }

    private fun park(job: Job, why: String) {
        val times = (parked[job.id]?.times ?: 0) + 1
        val wait = hub.settings.workers.reportS * PARK_REPORTS * (1 shl minOf(times - 1, MOST_DOUBLINGS))
        parked[job.id] = Parked(hub.nowNs + (wait * NS).toLong(), times)
        if (times == 1) log.info("job={} parked: {}", job.id, why) else log.debug("job={} parked: {}", job.id, why)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.gangs")
        const val NS = 1e9
        const val MS = 1000.0

        /** Rounds in one batch: a team's huge gangs must not take the leader's whole turn. */
        const val MOST_ROUNDS = 16

        /** The first parking wait, in report intervals; each further one is twice as long. */
        const val PARK_REPORTS = 0.25
        const val MOST_DOUBLINGS = 4

        /** A gang that has waited this share of [JobOrder.BEGIN_S] has room gathered for it. */
        const val GATHER_SHARE = 0.2

        /** Gangs that have been parked are looked at together, so often. */
        const val LOOK_REPORTS = 0.15

        /** Claimed machines get this many report intervals for halted tasks to leave. */
        const val CLAIM_REPORTS = 4.0
    }
}
