package flaxfield.arrays

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.fleet.FleetRules
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Room
import flaxfield.jobs.TaskCompletion
import flaxfield.jobs.Validation
import flaxfield.node.NodeContext
import flaxfield.quota.TeamUse
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Outcome
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.Orders
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/** This node's part: places arrays on its own machines, after their room has been told and claimed ones cleared. */
class ArrayScheduler(private val context: NodeContext, private val hosts: WorkerHealth, stops: HaltDispatcher) {
    private val summaries = RoomSummaryPublisher(context, hosts)
    private val clearing = MachineDrainer(context, stops)

    /** A placement of ours that the view does not show yet: the keys it changes, and the room that it takes. */
    private class InFlightPlacement(val keys: List<String>, val taken: List<Pair<String, Room>>)

    private val inFlight = HashMap<String, InFlightPlacement>()

    /** When a job that waits was first seen to do so, by id. */
    private val waitingSinceNs = HashMap<String, Long>()

    fun run() {
        val term = context.term() ?: return
        if (!context.mayDecide()) return
        summaries.run(term)
        clearing.run(term)
        place(term)
    }

    private fun place(term: ULong) {
        inFlight.values.removeIf { f -> f.keys.none { context.isBusy(it) } }
        // Asked before anything is looked at: while changes were scarce, sorting the waiting jobs each turn was in
        // vain.
        if (!context.maySpend(Cause.ARRAY, 1)) return
        val w = context.view
        val pending = w.jobs.values.filter {
            !it.isGang &&
                !it.cancelled &&
                it.pendingCount > 0 &&
                it.retryAtMs <= context.nowMs
        }
        val (waiting, underWay) = pending.partition { it.id !in inFlight && !context.isBusy(StoreKeys.JOB + it.id) }
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
        val use = context.use()
        val held = HeldSeats { context.view.machineTypes[it.machine.machineType]?.room ?: Room.NONE }
        val members = context.view.assignment?.members?.size ?: 1
        val gate = context.zones?.gate(underWay)
        for (job in context.inOrder(waiting, use)) {
            if (gate?.admits(job) == false) break
            if (!myTurn(job)) {
                gate?.passOver(job)
                continue
            }
            // Those after it are less urgent: none of them goes first for want of a change.
            if (!context.maySpend(Cause.ARRAY, if (fenced(job)) 2 else 1)) break
            val fit = fit(job, seats).filter { held.offered(job.spec, it) }
            val placed = if (fit.isEmpty()) 0 else placeJob(job, fit, use, term)
            val missing = minOf(job.pendingCount - placed, context.allows(job, use))
            // At its team's limit a job without a machine lost each place that came free to those after it, for
            // minutes.
            if (placed == 0 && context.waitedLong(job)) use.add(job.spec.owner, job.spec.need)
            if (missing > 0 && !job.suspect) held.hold(job.spec, missing / members + 1, seats) { suits(job, it) }
        }
    }

    /**
     * Our machines that take arrays now and have at least so much room, less what placements on their way have taken.
     */
    private fun seats(least: Room): List<Seat> {
        val w = context.view
        cheapKnown = w.machines.values.any { it.preemptible }
        val seats = context.mine().mapNotNull { m ->
            val free = w.free(m)?.takeIf { it.holds(least) } ?: return@mapNotNull null
            if (!open(m)) return@mapNotNull null
            val book = hosts.book(m.name)
            val report = book.report ?: return@mapNotNull null
            val places = Orders.MOST_TASKS - w.tasksOn(m.name)
            if (places <= 0) null else Seat(m, report.session, free, book.images.keys, w.isEmpty(m.name), places)
        }
        assumeFlying(seats)
        return seats
    }

    /** The seats that a task of [job] may take. */
    private fun fit(job: Job, seats: List<Seat>): List<Seat> = seats.filter {
        it.free.holds(job.spec.need) &&
            suits(job, it)
    }

    private fun suits(job: Job, s: Seat): Boolean {
        val m = s.machine
        // Left to others that can use no other kind: filled by what loses little when it makes way, or has waited too
        // long.
        if (!context.reserved.rents(job.spec, m.machineType, m.preemptible)) {
            return context.waitedLong(job) ||
                context.reserved.fills(job.spec, m.machineType, m.preemptible) &&
                m.machineType !in spokenFor()
        }
        return m.preemptible || !job.spec.preemptible || mayHoldDear(job)
    }

    /**
     * Whether [job], which cheap machines would do for, may hold an ordinary one. Work of a class without an aim fills
     * those that wait for gangs; on others it kept hundreds of dear machines that had been rented for a burst.
     */
    private fun mayHoldDear(job: Job): Boolean = !cheapKnown ||
        context.aimed(job.spec.jobClass) ||
        context.waitedLong(job) ||
        FleetRules.pressesWithoutAim(
            (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND,
            begun =
            job.placedCount + job.doneCount > 0,
        )

    /** Whether there are cheap machines at all. */
    private var cheapKnown = false

    /** A job as it is submitted, with its tasks placed, and the conditions of that. */
    class Begun(val job: Job, val conditions: Map<String, ULong>)

    /**
     * Places a small job that is just being submitted, so that its record is accepted and placed by one change. Only
     * where its turn has come: no job that waits for room, on whichever part, goes before it. Null if it is to wait.
     */
    fun begin(job: Job): Begun? {
        val term = context.term() ?: return null
        if (job.isGang || job.spec.taskCount > SMALL_TASKS || fenced(job) || !context.mayDecide()) return null
        val waiting = context.view.jobs.values.filter {
            !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= context.nowMs
        }
        val use = context.use()
        if (context.inOrder(waiting + job, use).first() !== job) return null
        val seats = fit(job, seats(job.spec.need))
        val most = context.allows(job, use)
        val found = ArrayRound.place(job, seats, ZoneRule(job.spec, emptyList()), 0, ArrayRound.Limits(most))
        if (found.size < job.spec.taskCount) return null
        val next = job.place(found.mapValues { (_, s) -> Job.Host(s.machine.name, s.session) })
        inFlight[job.id] =
            InFlightPlacement(listOf(StoreKeys.JOB + job.id), found.values.map { it.machine.name to job.spec.need })
        return Begun(next, TaskCompletion.write(job, next, term).conditions + versions(found.values))
    }

    private fun versions(seats: Collection<Seat>) = seats.distinct().associate {
        StoreKeys.HOST + it.machine.name to
            it.machine.version
    }

    private var spoken: Set<String> = emptySet()
    private var nextSpokenNs = 0L

    /** Machine types whose ordinary machines the waiting gangs will take, all of them; looked at now and then. */
    private fun spokenFor(): Set<String> {
        if (context.nowNs < nextSpokenNs) return spoken
        nextSpokenNs = context.nowNs + (context.settings.workers.reportS * SPOKEN_REPORTS * NANOS_PER_SECOND).toLong()
        spoken = if (context.reserved.gangsWait) lookSpokenFor() else emptySet()
        return spoken
    }

    private fun lookSpokenFor(): Set<String> {
        val w = context.view
        val open = HashMap<String, Int>()
        for (m in w.machines.values) {
            if (m.preemptible || !m.takesWork || w.hostRoom(m.name)?.state != HostState.OK) continue
            if (w.jobsOn(m.name).none { it.isGang }) open.merge(m.machineType, 1, Int::plus)
        }
        return w.machineTypes.keys.filterTo(HashSet()) { context.reserved.spokenFor(it, open[it] ?: 0) }
    }

    /**
     * Takes from the seats what placements on their way have taken: the view does not show them yet, and the next
     * job was placed into the same room 60 ms later, only to be told `no_room` by the worker.
     */
    private fun assumeFlying(seats: List<Seat>) {
        if (inFlight.isEmpty()) return
        val byHost = seats.associateBy { it.machine.name }
        for (f in inFlight.values) {
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
        val since = waitingSinceNs.getOrPut(job.id) { context.nowNs }
        val members = context.view.assignment?.members?.map { it.name }?.sorted().orEmpty()
        val rank = Math.floorMod(members.indexOf(context.me.name) + job.id.hashCode(), members.size.coerceAtLeast(1))
        val wait = context.settings.workers.reportS * TURN_REPORTS * rank
        if (context.nowNs - since >= wait * NANOS_PER_SECOND) return true
        context.wakeAt(since + (wait * NANOS_PER_SECOND).toLong())
        return false
    }

    private fun open(m: Machine): Boolean = m.takesWork &&
        context.zones?.admits(m) != false &&
        context.view.claimOn(m) == null &&
        !context.isBusy(StoreKeys.HOST + m.name) &&
        hosts.state(m.name) == HostState.OK

    /** Sends a placement of what fits now; how many tasks it is of. */
    private fun placeJob(job: Job, seats: List<Seat>, use: TeamUse, term: ULong): Int {
        val team = context.settings.teams[job.spec.owner] ?: return 0
        val fenceKey = StoreKeys.TEAM + team.name
        if (team.limited && context.isBusy(fenceKey)) return 0
        val zones = if (job.spec.sameZone || job.spec.scatter) {
            job.allPlaced().map { context.view.machines[it.host]?.zone.orEmpty() }.toList()
        } else {
            emptyList()
        }
        val width = if (job.suspect) {
            PROBES
        } else {
            ShortTasks.width(
                job.spec,
                readyS(job),
                context.settings.workers.reportS,
            )
        }
        val most = minOf(context.allows(job, use), MOST_PER_JOB, width - job.placedCount)
        val limits = ArrayRound.Limits(most, MOST_HOSTS, TaskCompletion.chunksAtOnce(context.settings.stateLimits))
        val found = ArrayRound.place(job, seats, ZoneRule(job.spec, zones), offset(job), limits) {
            !context.isBusy(StoreKeys.chunk(job.id, it))
        }
        if (found.isEmpty()) return 0
        use.add(team.name, job.spec.need * found.size)
        val cause = if (found.size >= minOf(TaskCompletion.FEW, job.pendingCount)) Cause.ARRAY else Cause.TRICKLE
        if (!context.maySpend(cause, if (team.limited) 2 else 1)) {
            log.debug("job={} placement waits for the write budget", job.id)
            return found.size
        }
        val next = job.place(found.mapValues { (_, s) -> Job.Host(s.machine.name, s.session) })
        val base = TaskCompletion.write(job, next, term)
        val hosts = versions(found.values)
        val fence = if (team.limited) mapOf(fenceKey to context.view.version(fenceKey)) else emptyMap()
        val bump = if (team.limited) listOf(Change.Put(fenceKey, mapOf("job" to job.id))) else emptyList()
        val sent = context.commit(cause, Txn(base.conditions + hosts + fence, base.changes + bump)) { outcome ->
            if (outcome is Outcome.Committed) {
                for ((i, s) in found) {
                    log.info(
                        "job={} task={} attempt={} host={} term={} placed",
                        job.id,
                        i,
                        next.placed(i)?.attempt,
                        s.machine.name,
                        term,
                    )
                }
            } else {
                log.debug("job={} placement outcome={}", job.id, outcome)
            }
        }
        if (sent) {
            inFlight[job.id] =
                InFlightPlacement(base.changes.map { it.key }, found.values.map { it.machine.name to job.spec.need })
        }
        return found.size
    }

    /** How soon a machine for [job] is up once it is rented. */
    private fun readyS(job: Job): Double =
        context.view.machineTypes.values.filter { Validation.allowed(job.spec, it) }.minOfOrNull { it.readyS } ?: 0.0

    /** Whether a placement of [job] bumps its team's fence as well. */
    private fun fenced(job: Job) = context.settings.teams[job.spec.owner]?.limited ?: false

    /** Parts start at different tasks so that they rarely want the same one. */
    private fun offset(job: Job): Int {
        val members = context.view.assignment?.members?.map { it.name }?.sorted() ?: return 0
        val at = members.indexOf(context.me.name).coerceAtLeast(0)
        return (job.spec.taskCount.toLong() * at / members.size.coerceAtLeast(1)).toInt()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.arrays")

        /** Bounded work per decision; the rest follows in the next one. */
        const val MOST_PER_JOB = 256

        /** A job of so few tasks may be placed by the very write that accepts it. */
        const val SMALL_TASKS = 4

        /** Each machine is a condition of the write, and these may be four times as many as changes. */
        const val MOST_HOSTS = 64

        /**
         * What seems to be a mistake is tried with so many tasks at a time, not with all of an array again and again.
         */
        const val PROBES = 2

        /** How often waiting gangs are counted against ordinary machines: a walk over all of these. */
        const val SPOKEN_REPORTS = 0.1

        /** How long a part lets the one before it go first with a job, in report intervals: a write and its news. */
        const val TURN_REPORTS = 0.06
    }
}
