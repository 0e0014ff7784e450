package flaxfield.arrays

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.OnDemandUrgency
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.Resources
import flaxfield.jobs.TaskEventCommitter
import flaxfield.quota.TeamUsage
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.HeartbeatReconciler
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/** This node's part: places arrays on its own machines, after their room has been told and claimed ones cleared. */
class ArrayScheduler(
    private val context: ControllerContext,
    private val workerHealth: WorkerHealth,
    stops: HaltDispatcher,
) {
    private val summaries = ShardSummaryPublisher(context, workerHealth)
    private val clearing = MachineDrainer(context, stops)

    /** A placement of ours that the view does not show yet: the keys it changes, and the room that it takes. */
    private class InFlightPlacement(val keys: List<String>, val taken: List<Pair<String, Resources>>)

    private val inFlight = HashMap<String, InFlightPlacement>()

    /** When a job that waits was first seen to do so, by id. */
    private val waitingSinceNs = HashMap<String, Long>()

    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        summaries.run(term)
        clearing.run(term)
        place(term)
    }

    private fun place(term: ULong) {
        inFlight.values.removeIf { f -> f.keys.none { context.transactions.isWritePending(it) } }
        // Asked before anything is looked at: while changes were scarce, sorting the waiting jobs each turn was in
        // vain.
        if (!context.transactions.mayWrite(WriteCause.ARRAY, 1)) return
        val w = context.view
        val pending = w.jobs.values.filter {
            !it.isGang &&
                !it.cancelled &&
                it.pendingCount > 0 &&
                it.retryAtMs <= context.nowMs
        }
        val (waiting, underWay) = pending.partition {
            it.id !in inFlight &&
                !context.transactions.isWritePending(StoreKeys.JOB + it.id)
        }
        waitingSinceNs.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        // Nothing smaller than this waits: a machine with less room is no seat for anyone.
        val least = Resources(
            waiting.minOf { it.spec.taskResources.cpus },
            waiting.minOf { it.spec.taskResources.gpus },
            waiting.minOf { it.spec.taskResources.ram },
        )
        val candidates = candidates(least)
        if (candidates.isEmpty()) return
        val use = context.scheduling.teamUsage()
        val held = HeadOfLineReservations { context.view.machineTypes[it.machine.machineType]?.room ?: Resources.NONE }
        val members = context.view.assignment?.members?.size ?: 1
        val tierBarrier = context.zones?.tierBarrier(underWay)
        for (job in context.scheduling.schedulingOrder(waiting, use)) {
            if (tierBarrier?.admits(job) == false) break
            if (!myTurn(job)) {
                tierBarrier?.holdBack(job)
                continue
            }
            // Those after it are less urgent: none of them goes first for want of a change.
            if (!context.transactions.mayWrite(WriteCause.ARRAY, if (fenced(job)) 2 else 1)) break
            val fit = fit(job, candidates).filter { held.offered(job.spec, it) }
            val placed = if (fit.isEmpty()) 0 else placeJob(job, fit, use, term)
            val missing = minOf(job.pendingCount - placed, context.scheduling.admissibleTasks(job, use))
            // At its team's limit a job without a machine lost each place that came free to those after it, for
            // minutes.
            if (placed == 0 && context.scheduling.isStarved(job)) use.add(job.spec.team, job.spec.taskResources)
            if (missing > 0 && !job.isSuspect) held.hold(job.spec, missing / members + 1, candidates) { suits(job, it) }
        }
    }

    /**
     * Our machines that take arrays now and have at least so much room, less what placements on their way have taken.
     */
    private fun candidates(least: Resources): List<PlacementCandidate> {
        val w = context.view
        cheapKnown = w.machines.values.any { it.preemptible }
        val candidates = context.shards.ownedMachines().mapNotNull { m ->
            val free = w.free(m)?.takeIf { it.canHold(least) } ?: return@mapNotNull null
            if (!open(m)) return@mapNotNull null
            val workerState = workerHealth.workerState(m.name)
            val heartbeat = workerState.heartbeat ?: return@mapNotNull null
            val places = HeartbeatReconciler.MAX_TASKS - w.tasksOn(m.name)
            if (places <=
                0
            ) {
                null
            } else {
                PlacementCandidate(
                    m,
                    heartbeat.incarnation,
                    free,
                    workerState.images.keys,
                    w.isEmpty(m.name),
                    places,
                )
            }
        }
        assumeFlying(candidates)
        return candidates
    }

    /** The seats that a task of [job] may take. */
    private fun fit(job: Job, candidates: List<PlacementCandidate>): List<PlacementCandidate> = candidates.filter {
        it.free.canHold(job.spec.taskResources) &&
            suits(job, it)
    }

    private fun suits(job: Job, s: PlacementCandidate): Boolean {
        val m = s.machine
        // Left to others that can use no other kind: filled by what loses little when it makes way, or has waited too
        // long.
        if (!context.scheduling.reservations.rents(job.spec, m.machineType, m.preemptible)) {
            return context.scheduling.isStarved(job) ||
                context.scheduling.reservations.fills(job.spec, m.machineType, m.preemptible) &&
                m.machineType !in spokenFor()
        }
        return m.preemptible || !job.spec.preemptible || mayHoldDear(job)
    }

    /**
     * Whether [job], which cheap machines would do for, may hold an ordinary one. Work of a class without an aim fills
     * those that wait for gangs; on others it kept hundreds of dear machines that had been rented for a burst.
     */
    private fun mayHoldDear(job: Job): Boolean = !cheapKnown ||
        context.scheduling.hasObjective(job.spec.jobClass) ||
        context.scheduling.isStarved(job) ||
        OnDemandUrgency.isOverdueWithoutObjective(
            (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND,
            begun =
            job.placedCount + job.doneCount > 0,
        )

    /** Whether there are cheap machines at all. */
    private var cheapKnown = false

    /** A job as it is submitted, with its tasks placed, and the conditions of that. */
    class InitialPlacement(val job: Job, val conditions: Map<String, ULong>)

    /**
     * Places a small job that is just being submitted, so that its record is accepted and placed by one change. Only
     * where its turn has come: no job that waits for room, on whichever part, goes before it. Null if it is to wait.
     */
    fun begin(job: Job): InitialPlacement? {
        val term = context.leadership.term() ?: return null
        if (job.isGang || job.spec.taskCount > SMALL_TASKS || fenced(job) || !context.leadership.mayAct()) return null
        val waiting = context.view.jobs.values.filter {
            !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= context.nowMs
        }
        val use = context.scheduling.teamUsage()
        if (context.scheduling.schedulingOrder(waiting + job, use).first() !== job) return null
        val candidates = fit(job, candidates(job.spec.taskResources))
        val most = context.scheduling.admissibleTasks(job, use)
        val found = ArrayPlacement.place(
            job,
            candidates,
            TopologyConstraint(job.spec, emptyList()),
            0,
            ArrayPlacement.Limits(most),
        )
        if (found.size < job.spec.taskCount) return null
        val next = job.place(found.mapValues { (_, s) -> Job.Target(s.machine.name, s.incarnation) })
        inFlight[job.id] =
            InFlightPlacement(
                listOf(StoreKeys.JOB + job.id),
                found.values.map {
                    it.machine.name to
                        job.spec.taskResources
                },
            )
        return InitialPlacement(next, TaskEventCommitter.write(job, next, term).conditions + versions(found.values))
    }

    private fun versions(candidates: Collection<PlacementCandidate>) = candidates.distinct().associate {
        StoreKeys.MACHINE + it.machine.name to
            it.machine.version
    }

    private var spoken: Set<String> = emptySet()
    private var nextSpokenNs = 0L

    /** Machine types whose ordinary machines the waiting gangs will take, all of them; looked at now and then. */
    private fun spokenFor(): Set<String> {
        if (context.nowNs < nextSpokenNs) return spoken
        nextSpokenNs =
            context.nowNs +
            (context.settings.workers.heartbeatIntervalS * SPOKEN_HEARTBEATS * NANOS_PER_SECOND).toLong()
        spoken = if (context.scheduling.reservations.gangsWait) lookSpokenFor() else emptySet()
        return spoken
    }

    private fun lookSpokenFor(): Set<String> {
        val w = context.view
        val open = HashMap<String, Int>()
        for (m in w.machines.values) {
            if (m.preemptible || !m.takesWork || w.machineStatus(m.name)?.state != MachineHealth.OK) continue
            if (w.jobsOn(m.name).none { it.isGang }) open.merge(m.machineType, 1, Int::plus)
        }
        return w.machineTypes.keys.filterTo(HashSet()) { context.scheduling.reservations.spokenFor(it, open[it] ?: 0) }
    }

    /**
     * Takes from the seats what placements on their way have taken: the view does not show them yet, and the next
     * job was placed into the same room 60 ms later, only to be told `no_room` by the worker.
     */
    private fun assumeFlying(candidates: List<PlacementCandidate>) {
        if (inFlight.isEmpty()) return
        val byHost = candidates.associateBy { it.machine.name }
        for (f in inFlight.values) {
            for ((machineName, room) in f.taken) {
                val candidate = byHost[machineName] ?: continue
                candidate.free -= room
                candidate.places--
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
        val rank = Math.floorMod(members.indexOf(context.self.name) + job.id.hashCode(), members.size.coerceAtLeast(1))
        val wait = context.settings.workers.heartbeatIntervalS * TURN_HEARTBEATS * rank
        if (context.nowNs - since >= wait * NANOS_PER_SECOND) return true
        context.decisions.requestAt(since + (wait * NANOS_PER_SECOND).toLong())
        return false
    }

    private fun open(m: Machine): Boolean = m.takesWork &&
        context.zones?.acceptsPlacements(m) != false &&
        context.view.activeReservation(m) == null &&
        !context.transactions.isWritePending(StoreKeys.MACHINE + m.name) &&
        workerHealth.state(m.name) == MachineHealth.OK

    /** Sends a placement of what fits now; how many tasks it is of. */
    private fun placeJob(job: Job, candidates: List<PlacementCandidate>, use: TeamUsage, term: ULong): Int {
        val team = context.settings.teams[job.spec.team] ?: return 0
        val fenceKey = StoreKeys.QUOTA_FENCE + team.name
        if (team.limited && context.transactions.isWritePending(fenceKey)) return 0
        val zones = if (job.spec.sameZone || job.spec.spreadAcrossZones) {
            job.allPlaced().map { context.view.machines[it.machineName]?.zone.orEmpty() }.toList()
        } else {
            emptyList()
        }
        val width = if (job.isSuspect) {
            PROBES
        } else {
            ShortTaskPolicy.width(
                job.spec,
                bootTimeS(job),
                context.settings.workers.heartbeatIntervalS,
            )
        }
        val most = minOf(context.scheduling.admissibleTasks(job, use), MAX_PER_JOB, width - job.placedCount)
        val limits = ArrayPlacement.Limits(
            most,
            MAX_HOSTS,
            TaskEventCommitter.chunksAtOnce(context.settings.stateLimits),
        )
        val found = ArrayPlacement.place(job, candidates, TopologyConstraint(job.spec, zones), offset(job), limits) {
            !context.transactions.isWritePending(StoreKeys.chunk(job.id, it))
        }
        if (found.isEmpty()) return 0
        use.add(team.name, job.spec.taskResources * found.size)
        val cause = if (found.size >=
            minOf(TaskEventCommitter.FEW, job.pendingCount)
        ) {
            WriteCause.ARRAY
        } else {
            WriteCause.TRICKLE
        }
        if (!context.transactions.mayWrite(cause, if (team.limited) 2 else 1)) {
            log.debug("job={} placement waits for the write budget", job.id)
            return found.size
        }
        val next = job.place(found.mapValues { (_, s) -> Job.Target(s.machine.name, s.incarnation) })
        val base = TaskEventCommitter.write(job, next, term)
        val hosts = versions(found.values)
        val fence = if (team.limited) mapOf(fenceKey to context.view.version(fenceKey)) else emptyMap()
        val bump = if (team.limited) listOf(Change.Put(fenceKey, mapOf("job" to job.id))) else emptyList()
        val sent = context.transactions.submit(
            cause,
            Transaction(base.conditions + hosts + fence, base.changes + bump),
        ) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                for ((i, s) in found) {
                    log.info(
                        "job={} task={} attempt={} machine={} term={} placed",
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
                InFlightPlacement(
                    base.changes.map { it.key },
                    found.values.map {
                        it.machine.name to
                            job.spec.taskResources
                    },
                )
        }
        return found.size
    }

    /** How soon a machine for [job] is up once it is rented. */
    private fun bootTimeS(job: Job): Double =
        context.view.machineTypes.values.filter { JobAdmission.allowed(job.spec, it) }.minOfOrNull { it.bootTimeS }
            ?: 0.0

    /** Whether a placement of [job] bumps its team's fence as well. */
    private fun fenced(job: Job) = context.settings.teams[job.spec.team]?.limited ?: false

    /** Parts start at different tasks so that they rarely want the same one. */
    private fun offset(job: Job): Int {
        val members = context.view.assignment?.members?.map { it.name }?.sorted() ?: return 0
        val at = members.indexOf(context.self.name).coerceAtLeast(0)
        return (job.spec.taskCount.toLong() * at / members.size.coerceAtLeast(1)).toInt()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.arrays")

        /** Bounded work per decision; the rest follows in the next one. */
        const val MAX_PER_JOB = 256

        /** A job of so few tasks may be placed by the very write that accepts it. */
        const val SMALL_TASKS = 4

        /** Each machine is a condition of the write, and these may be four times as many as changes. */
        const val MAX_HOSTS = 64

        /**
         * What seems to be a mistake is tried with so many tasks at a time, not with all of an array again and again.
         */
        const val PROBES = 2

        /** How often waiting gangs are counted against ordinary machines: a walk over all of these. */
        const val SPOKEN_HEARTBEATS = 0.1

        /** How long a part lets the one before it go first with a job, in report intervals: a write and its news. */
        const val TURN_HEARTBEATS = 0.06
    }
}
