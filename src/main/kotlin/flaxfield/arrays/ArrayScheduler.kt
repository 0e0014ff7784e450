package flaxfield.arrays

import flaxfield.fleet.FleetRules
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.Room
import flaxfield.jobs.TaskCompletion
import flaxfield.jobs.Validation
import flaxfield.node.NodeContext
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUse
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Outcome
import flaxfield.store.Txn
import flaxfield.workers.WorkerHealth
import flaxfield.workers.Orders
import flaxfield.workers.HaltDispatcher
import org.slf4j.LoggerFactory

/** This node's part: places arrays on its own machines, after their room has been told and claimed ones cleared. */
class ArrayScheduler(private val hub: NodeContext, private val hosts: WorkerHealth, stops: HaltDispatcher) {
    private val summaries = RoomSummaryPublisher(hub, hosts)
    private val clearing = MachineDrainer(hub, stops)

    /** A placement of ours that the view does not show yet: the keys it changes, and the room that it takes. */
    private class InFlightPlacement(val keys: List<String>, val taken: List<Pair<String, Room>>)

    private val flying = HashMap<String, InFlightPlacement>()

    /** When a job that waits was first seen to do so, by id. */
    private val waitingSinceNs = HashMap<String, Long>()

    fun run() {
        val term = hub.term() ?: return
        if (!hub.mayDecide()) return
        summaries.run(term)
        clearing.run(term)
        place(term)
    }

    private fun place(term: ULong) {
        flying.values.removeIf { f -> f.keys.none { hub.isBusy(it) } }
        // Asked before anything is looked at: while changes were scarce, sorting the waiting jobs each turn was in vain.
        if (!hub.maySpend(Cause.ARRAY, 1)) return
        val w = hub.world
        val waiting = w.jobs.values.filter {
            !it.isGang &&
                !it.cancelled &&
                it.pendingCount > 0 &&
                it.retryAtMs <= hub.nowMs &&
                it.id !in flying &&
                !hub.isBusy(StoreKeys.JOB + it.id)
        }
        waitingSinceNs.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        // Nothing smaller than this waits: a machine with less room is no seat for anyone.
        val least = Room(
            waiting.minOf { it.spec.need.cpus },
            waiting.minOf { it.spec.need.gpus },
            waiting.minOf { it.spec.need.ram },
        )
        val seats = seats(least)
        if (seats.isEmpty()) return
        val use = hub.use()
        val guaranteed = hub.guaranteed()
        val held = HeldSeats { hub.world.flavors[it.machine.flavor]?.room ?: Room.NONE }
        val members = hub.world.assignment?.members?.size ?: 1
        for (job in JobOrder.sort(waiting, guaranteed, use, JobOrder.lateMs(hub.nowMs), hub::aimed)) {
            if (!myTurn(job)) continue
            // Those after it are less urgent: none of them goes first for want of a change.
            if (!hub.maySpend(Cause.ARRAY, if (fenced(job)) 2 else 1)) break
            val fit = fit(job, seats).filter { held.offered(job.spec, it) }
            val placed = if (fit.isEmpty()) 0 else placeJob(job, fit, use, term)
            val missing = minOf(job.pendingCount - placed, hub.allows(job, use))
            // At its team's limit a job without a machine lost each place that came free to those after it, for minutes.
            if (placed == 0 && hub.waitedLong(job)) use.add(job.spec.owner, job.spec.need)
            if (missing > 0 && !job.suspect) held.hold(job.spec, missing / members + 1, seats) { suits(job, it) }
        }
    }

    /** Our machines that take arrays now and have at least so much room, less what placements on their way have taken. */
    private fun seats(least: Room): List<Seat> {
        val w = hub.world
        cheapKnown = w.machines.values.any { it.lendable }
        val seats = hub.mine().mapNotNull { m ->
            val free = w.free(m)?.takeIf { it.holds(least) } ?: return@mapNotNull null
            if (!open(m)) return@mapNotNull null
            val book = hosts.book(m.name)
            val report = book.report ?: return@mapNotNull null
            val places = Orders.MOST_TASKS - w.tasksOn(m.name)
            if (places <= 0) null else Seat(m, report.tenure, free, book.images.keys, w.isEmpty(m.name), places)
        }
        assumeFlying(seats)
        return seats
    }

    /** The seats that a task of [job] may take. */
    private fun fit(job: Job, seats: List<Seat>): List<Seat> = seats.filter { it.free.holds(job.spec.need) && suits(job, it) }

    private fun suits(job: Job, s: Seat): Boolean {
        val m = s.machine
        // Left to others that can use no other kind: filled by what loses little when it makes way, or has waited too long.
        if (!hub.reserved.rents(job.spec, m.flavor, m.lendable)) {
            return hub.waitedLong(job) || hub.reserved.fills(job.spec, m.flavor, m.lendable) && m.flavor !in spokenFor()
        }
        return m.lendable || !job.spec.lendable || mayHoldDear(job)
    }

    /**
     * Whether [job], which cheap machines would do for, may hold an ordinary one. Work of a class without an aim fills those
     * that wait for gangs; on others it kept hundreds of dear machines that had been rented for a burst.
     */
    private fun mayHoldDear(job: Job): Boolean = !cheapKnown ||
        hub.aimed(job.spec.jobClass) ||
        hub.waitedLong(job) ||
        FleetRules.pressesWithoutAim((hub.nowMs - job.submittedMs) / MS, begun = job.placedCount + job.doneCount > 0)

    /** Whether there are cheap machines at all. */
    private var cheapKnown = false

    /** A job as it is submitted, with its tasks placed, and the conditions of that. */
    class Begun(val job: Job, val conditions: Map<String, ULong>)

    /**
     * Places a small job that is just being submitted, so that its record is accepted and placed by one change. Only
     * where its turn has come: no job that waits for room, on whichever part, goes before it. Null if it is to wait.
     */
    fun begin(job: Job): Begun? {
        val term = hub.term() ?: return null
        if (job.isGang || job.spec.shards > SMALL_TASKS || fenced(job) || !hub.mayDecide()) return null
        val waiting = hub.world.jobs.values.filter { !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= hub.nowMs }
        val use = hub.use()
        if (JobOrder.sort(waiting + job, hub.guaranteed(), use, JobOrder.lateMs(hub.nowMs), hub::aimed).first() !== job) return null
        val seats = fit(job, seats(job.spec.need))
        val most = hub.allows(job, use)
        val found = ArrayRound.place(job, seats, ZoneRule(job.spec, emptyList()), 0, ArrayRound.Limits(most))
        if (found.size < job.spec.shards) return null
        val next = job.place(found.mapValues { (_, s) -> Job.Host(s.machine.name, s.tenure) })
        flying[job.id] = InFlightPlacement(listOf(StoreKeys.JOB + job.id), found.values.map { it.machine.name to job.spec.need })
        return Begun(next, TaskCompletion.write(job, next, term).conditions + stamps(found.values))
    }

    private fun stamps(seats: Collection<Seat>) = seats.distinct().associate { StoreKeys.HOST + it.machine.name to it.machine.stamp }

    private var spoken: Set<String> = emptySet()
    private var nextSpokenNs = 0L

    /** Machine types whose ordinary machines the waiting gangs will take, all of them; looked at now and then. */
    private fun spokenFor(): Set<String> {
        if (hub.nowNs < nextSpokenNs) return spoken
        nextSpokenNs = hub.nowNs + (hub.settings.workers.reportS * SPOKEN_REPORTS * NS).toLong()
        spoken = if (hub.reserved.gangsWait) lookSpokenFor() else emptySet()
        return spoken
    }

    private fun lookSpokenFor(): Set<String> {
        val w = hub.world
        val open = HashMap<String, Int>()
        for (m in w.machines.values) {
            if (m.lendable || m.phase != MachinePhase.UP || w.hostRoom(m.name)?.state != HostState.OK) continue
            if (w.jobsOn(m.name).none { it.isGang }) open.merge(m.flavor, 1, Int::plus)
        }
        return w.flavors.keys.filterTo(HashSet()) { hub.reserved.spokenFor(it, open[it] ?: 0) }
    }

    /**
     * Takes from the seats what placements on their way have taken: the view does not show them yet, and the next
     * job was placed into the same room 60 ms later, only to be told `no_room` by the worker.
     */
    private fun assumeFlying(seats: List<Seat>) {
        if (flying.isEmpty()) return
        val byHost = seats.associateBy { it.machine.name }
        for (f in flying.values) {
            for ((host, room) in f.taken) {
                val seat = byHost[host] ?: continue
                seat.free -= room
                seat.places--
            }
        }
    }

    /**
     * Parts let one another go first with a new job, in an order that its id draws: all at once, they wrote
     * the same record, and each but one wrote in vain.
     */
    private fun myTurn(job: Job): Boolean {
        val since = waitingSinceNs.getOrPut(job.id) { hub.nowNs }
        val members = hub.world.assignment?.members?.map { it.name }?.sorted().orEmpty()
        val rank = Math.floorMod(members.indexOf(hub.me.name) + job.id.hashCode(), members.size.coerceAtLeast(1))
        val wait = hub.settings.workers.reportS * TURN_REPORTS * rank
        if (hub.nowNs - since >= wait * NS) return true
        hub.wakeAt(since + (wait * NS).toLong())
        return false
    }

    private fun open(m: Machine): Boolean = m.phase == MachinePhase.UP &&
        hub.world.claimOn(m) == null &&
        !hub.isBusy(StoreKeys.HOST + m.name) &&
        hosts.state(m.name) == HostState.OK

    /** Sends a placement of what fits now; how many tasks it is of. */
    private fun placeJob(job: Job, seats: List<Seat>, use: TeamUse, term: ULong): Int {
        val team = hub.settings.teams[job.spec.owner] ?: return 0
        val fenceKey = StoreKeys.TEAM + team.name
        if (team.limited && hub.isBusy(fenceKey)) return 0
        val sites = if (job.spec.samePlace || job.spec.scatter) {
            job.allPlaced().map { hub.world.machines[it.host]?.site.orEmpty() }.toList()
        } else {
            emptyList()
        }
        val width = if (job.suspect) PROBES else ShortTasks.width(job.spec, readyS(job), hub.settings.workers.reportS)
        val most = minOf(hub.allows(job, use), MOST_PER_JOB, width - job.placedCount)
        val limits = ArrayRound.Limits(most, MOST_HOSTS, TaskCompletion.chunksAtOnce(hub.settings.stateLimits))
        val found = ArrayRound.place(job, seats, ZoneRule(job.spec, sites), offset(job), limits) { !hub.isBusy(StoreKeys.chunk(job.id, it)) }
        if (found.isEmpty()) return 0
        use.add(team.name, job.spec.need * found.size)
        val cause = if (found.size >= minOf(TaskCompletion.FEW, job.pendingCount)) Cause.ARRAY else Cause.TRICKLE
        if (!hub.maySpend(cause, if (team.limited) 2 else 1)) {
            log.debug("job={} placement waits for the write budget", job.id)
            return found.size
        }
        val next = job.place(found.mapValues { (_, s) -> Job.Host(s.machine.name, s.tenure) })
        val base = TaskCompletion.write(job, next, term)
        val hosts = stamps(found.values)
        val fence = if (team.limited) mapOf(fenceKey to hub.world.stamp(fenceKey)) else emptyMap()
        val bump = if (team.limited) listOf(Change.Put(fenceKey, mapOf("job" to job.id))) else emptyList()
        val sent = hub.commit(cause, Txn(base.conditions + hosts + fence, base.changes + bump)) { outcome ->
            if (outcome is Outcome.Committed) {
                for ((i, s) in found) {
                    log.info("job={} task={} attempt={} host={} term={} placed", job.id, i, next.placed(i)?.attempt, s.machine.name, term)
                }
            } else {
                log.debug("job={} placement outcome={}", job.id, outcome)
            }
        }
        if (sent) flying[job.id] = InFlightPlacement(base.changes.map { it.key }, found.values.map { it.machine.name to job.spec.need })
        return found.size
    }

    /** How soon a machine for [job] is up once it is rented. */
    private fun readyS(job: Job): Double =
        hub.world.flavors.values.filter { Validation.allowed(job.spec, it) }.minOfOrNull { it.readyS } ?: 0.0

    /** Whether a placement of [job] bumps its team's fence as well. */
    private fun fenced(job: Job) = hub.settings.teams[job.spec.owner]?.limited ?: false

    /** Parts start at different tasks so that they rarely want the same one. */
    private fun offset(job: Job): Int {
        val members = hub.world.assignment?.members?.map { it.name }?.sorted() ?: return 0
        val at = members.indexOf(hub.me.name).coerceAtLeast(0)
        return (job.spec.shards.toLong() * at / members.size.coerceAtLeast(1)).toInt()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.arrays")

        /** Bounded work per decision; the rest follows in the next one. */
        const val MOST_PER_JOB = 256

        /** A job of so few tasks may be placed by the very write that accepts it. */
        const val SMALL_TASKS = 4

        /** Each machine is a condition of the write, and these may be four times as many as changes. */
        const val MOST_HOSTS = 64

        /** What seems to be a mistake is tried with so many tasks at a time, not with all of an array again and again. */
        const val PROBES = 2

        /** How often waiting gangs are counted against ordinary machines: a walk over all of these. */
        const val SPOKEN_REPORTS = 0.1

        /** How long a part lets the one before it go first with a job, in report intervals: a write and its news. */
        const val TURN_REPORTS = 0.06
        const val NS = 1e9
        const val MS = 1000.0
    }
}
