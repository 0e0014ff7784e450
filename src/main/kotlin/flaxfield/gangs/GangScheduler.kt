package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineReservation
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.Resources
import flaxfield.quota.TeamUsage
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** The leader's gangs: gate, round, claims, one commit. */
class GangScheduler(private val context: ControllerContext) {
    private class Parked(val untilNs: Long, val times: Int)

    private val parked = HashMap<String, Parked>()
    private val claimedSince = HashMap<String, Long>()

    /** Hosts whose claim for a gang is on its way: a second round meanwhile would claim, and clear, others too. */
    private val claiming = HashMap<String, List<String>>()

    private var nextLookNs = 0L

    /** Room for tasks of parked gangs at the last run: more of it wakes them. */
    private var lastFree = 0

    /** Commits what has been claimed, and looks for room for gangs that wait. */
    fun run() {
        if (!context.leadership.isLeader()) return forget()
        val term = context.leadership.term() ?: return
        val claims = claimsByGang()
        claimedSince.keys.retainAll(claims.keys)
        val gangs = context.view.gangs.mapNotNull { context.view.jobs[it] }
        if (gangs.isEmpty() && claims.isEmpty()) return
        val use = context.scheduling.teamUsage()
        val guaranteed = context.scheduling.guaranteed()
        for ((id, machines) in claims) claimed(id, machines, use, term)
        claiming.values.removeIf { hosts -> hosts.none { context.transactions.isWritePending(StoreKeys.MACHINE + it) } }
        // Without a change left for claims, a hundred gangs were gone through at each turn in vain.
        if (!context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val waiting = gangs.filter { it.id !in claims && mayStart(it) }
        parked.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        val shapes = waiting.distinctBy { Kind(it.spec) }.map { it.spec }
        if (!anyDue(waiting, shapes)) return
        nextLookNs =
            context.nowNs + (context.settings.workers.heartbeatIntervalS * LOOK_HEARTBEATS * NANOS_PER_SECOND).toLong()
        place(waiting, GangSchedulingCycle(context, candidates(shapes), use, guaranteed, term))
    }

    private fun forget() {
        parked.clear()
        claimedSince.clear()
        claiming.clear()
    }

    /** The machines that carry a valid claim, by the gang that it is for. */
    private fun claimsByGang(): Map<String, List<Machine>> {
        val view = context.view
        return view.claimed.mapNotNull {
            view.machines[it]
        }.filter { view.activeReservation(it) != null }.groupBy { it.reservation?.job.orEmpty() }
    }

    /** Whether [gang] waits for room, and nothing of it is on its way. */
    private fun mayStart(gang: Job): Boolean = gang.placedCount == 0 &&
        !gang.complete &&
        !gang.cancelled &&
        gang.retryAtMs <= context.nowMs &&
        gang.id !in claiming &&
        !context.transactions.isWritePending(StoreKeys.JOB + gang.id) &&
        GangPlacement.gate(gang)

    /** Whether any of [waiting] is new, or parked no longer; from time to time more room wakes the parked. */
    private fun anyDue(waiting: List<Job>, shapes: List<JobSpec>): Boolean {
        val anyNew = waiting.any { it.id !in parked }
        val look = context.nowNs >= nextLookNs
        if (!anyNew && !look) return false
        if (look) wake(shapes)
        return anyNew || waiting.any { gang -> parked[gang.id]?.let { context.nowNs >= it.untilNs } ?: false }
    }

    /** Runs the rounds of [waiting] in their order, the gang that room is gathered for first. */
    private fun place(waiting: List<Job>, survey: GangSchedulingCycle) {
        val gathers = LargeGangReservation.next(waiting, LargeGangReservation.overdueBeforeMs(context.nowMs))
        val atLimit = gathers?.takeIf { survey.use.allows(it.spec.team, it.spec.taskResources) < it.spec.taskCount }
        val ordered = context.scheduling.schedulingOrder(waiting, survey.use)
        for (gang in LargeGangReservation.first(gathers, ordered)) {
            // It leaves its team's limit to the other for a while only: behind one that never came under it, it waited
            // for minutes.
            if (atLimit != null &&
                !context.scheduling.isStarved(gang) &&
                LargeGangReservation.yields(gang, atLimit)
            ) {
                continue
            }
            if (!isParked(gang) && survey.known.runs < MAX_ROUNDS) round(gang, survey)
            // What is there for the gang that gathers is no longer there for those after it; at its team's limit it has
            // no use for it.
            val keeps = gang === gathers && gang !== atLimit && gang.id !in claiming
            if (keeps) survey.candidates = LargeGangReservation.without(gang, survey.candidates, survey.cleared(gang))
        }
    }

    private fun isParked(gang: Job): Boolean = parked[gang.id]?.let { context.nowNs < it.untilNs } ?: false

    /**
     * More room wakes the parked, counted in tasks like theirs: any task of an array that ended, anywhere, woke
     * them all before, and their rounds were the most that a leader spent its time on.
     */
    private fun wake(shapes: List<JobSpec>) {
        var free = 0
        for (m in context.view.machines.values) {
            if (!m.takesWork || context.zones?.acceptsPlacements(m) == false) continue
            val room = context.view.free(m) ?: continue
            free +=
                shapes.filter {
                    TopologyConstraint.allowsMachineKind(it, m.machineType, m.zone, m.preemptible)
                }.sumOf { room.countFitting(it.taskResources) }
        }
        if (free > lastFree) parked.replaceAll { _, p -> Parked(0, p.times) }
        lastFree = free
    }

    /** What decides on which machines a gang may go and how many of its tasks fit there. */
    private data class Kind(
        val taskResources: Resources,
        val machineTypes: Set<String>?,
        val zone: String?,
        val preemptible: Boolean,
    ) {
        constructor(s: JobSpec) : this(s.taskResources, s.machineTypes, s.zone, s.preemptible)
    }

    /** The machines that a gang of one of [shapes] could be on now, or once others have made way. */
    private fun candidates(shapes: List<JobSpec>): List<PlacementCandidate> =
        context.view.machines.values.mapNotNull { m ->
            if (shapes.none {
                    TopologyConstraint.allowsMachineKind(it, m.machineType, m.zone, m.preemptible)
                }
            ) {
                return@mapNotNull null
            }
            candidate(m)?.takeIf { s -> shapes.any { s.free.canHold(it.taskResources) } || mayEmpty(m.name) }
        }

    /** Whether anything on the machine might make way for a gang; most machines carry only gangs that run. */
    private fun mayEmpty(machineName: String) = context.view.jobsOn(machineName).any {
        !it.isGang ||
            it.cancelled ||
            it.id in context.view.halting
    }

    private fun candidate(m: Machine): PlacementCandidate? {
        if (!m.takesWork ||
            context.view.activeReservation(m) != null ||
            context.transactions.isWritePending(StoreKeys.MACHINE + m.name)
        ) {
            return null
        }
        if (context.zones?.acceptsPlacements(m) == false) return null
        val room = context.view.machineStatus(m.name)?.takeIf { it.state == MachineHealth.OK } ?: return null
        return candidate(m, room)
    }

    private fun candidate(m: Machine, room: MachineStatus): PlacementCandidate? {
        val free = context.view.free(m) ?: return null
        return PlacementCandidate(m, room.incarnation, free, room.images, context.view.isEmpty(m.name))
    }

    private fun round(job: Job, survey: GangSchedulingCycle) {
        if (survey.use.allows(job.spec.team, job.spec.taskResources) <
            job.spec.taskCount
        ) {
            return park(job, "the team's limit")
        }
        val plain = survey.plain(job)
        if (plain is GangPlacementResult.Feasible &&
            (warm(job, plain) || !fetchIsSlow(job, plain))
        ) {
            return reserve(job, plain.candidates, evict = false, survey)
        }
        // Without room, or only where the image must be fetched for longer than tasks take to make way.
        val second = survey.afterEviction(job)
        val best = if (second is GangPlacementResult.Feasible &&
            (plain is GangPlacementResult.Infeasible || warm(job, second))
        ) {
            second
        } else {
            plain
        }
        if (best is GangPlacementResult.Feasible && !warm(job, best) && waitsForWarm(job, best, survey)) {
            if (plain is GangPlacementResult.Feasible) giveBack(job, plain)
            return park(job, "waits for a machine with ${job.spec.image}")
        }
        when {
            second is GangPlacementResult.Feasible &&
                (
                    plain is GangPlacementResult.Infeasible ||
                        warm(
                            job,
                            second,
                        )
                    ) -> {
                if (plain is GangPlacementResult.Feasible) giveBack(job, plain)
                reserve(job, second.candidates, evict = true, survey)
            }
            plain is GangPlacementResult.Feasible -> reserve(job, plain.candidates, evict = false, survey)
            plain is GangPlacementResult.Infeasible -> park(job, "short: assumed ${plain.assumed}, left ${plain.left}")
        }
    }

    private fun warm(job: Job, r: GangPlacementResult.Feasible) = r.candidates.values.all {
        job.spec.image in it.images
    }

    /** Whether the image takes longer to fetch than tasks that save take to make way. */
    private fun fetchIsSlow(job: Job, r: GangPlacementResult.Feasible): Boolean =
        fetchS(job, r) > context.settings.workers.heartbeatIntervalS * CLAIM_HEARTBEATS

    private fun fetchS(job: Job, r: GangPlacementResult.Feasible): Double = r.candidates.values.mapNotNull {
        context.view.machineTypes[it.machine.machineType]?.fetchGbPerS
    }.minOrNull()?.let {
        job.spec.imageGb /
            it
    }
        ?: 0.0

    private fun waitsForWarm(job: Job, r: GangPlacementResult.Feasible, survey: GangSchedulingCycle): Boolean {
        val aims = context.settings.objectives.filter {
            it.kind == "wait" && it.jobClass == job.spec.jobClass
        }.map { it.withinS }
        val w = context.view
        val busyWarm = survey.busyWithGangs.count { (m, room) ->
            job.spec.image in room.images &&
                TopologyConstraint.allowsMachineKind(job.spec, m.machineType, m.zone, m.preemptible)
        }
        val rivals = w.jobs.values.filter {
            it.isGang &&
                !it.cancelled &&
                it.placedCount == 0 &&
                it.spec.image == job.spec.image
        }
            .sumOf { it.spec.taskCount }
        return ImageLocalityDelay.waits(
            (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND,
            fetchS(job, r),
            aims,
            busyWarm,
            rivals,
        )
    }

    private fun giveBack(job: Job, r: GangPlacementResult.Feasible) {
        for (s in r.candidates.values) s.free += job.spec.taskResources
    }

    private fun reserve(
        job: Job,
        candidates: Map<Int, PlacementCandidate>,
        evict: Boolean,
        survey: GangSchedulingCycle,
    ) {
        val term = survey.term
        val perHost = candidates.values.groupingBy { it.machine }.eachCount()
        if (perHost.size >
            context.settings.stateLimits.txnOps
        ) {
            return park(job, "more machines than one transaction takes")
        }
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = perHost.map { (m, n) ->
            conditions[StoreKeys.MACHINE + m.name] = m.version
            Change.Put(
                StoreKeys.MACHINE + m.name,
                FleetCodec.encode(
                    m.copy(reservation = MachineReservation(job.id, term, n, evict, job.nextGangAttempt())),
                ),
            )
        }
        val sent = context.transactions.submit(WriteCause.GANG, Transaction(conditions, changes)) { outcome ->
            log.info(
                "job={} term={} claims={} evict={} outcome={}",
                job.id,
                term,
                perHost.keys.map {
                    it.name
                },
                evict,
                outcome,
            )
        }
        if (sent) {
            claiming[job.id] = perHost.keys.map { it.name }
            survey.claimed(perHost.keys.mapTo(HashSet()) { it.name })
        } else {
            for (s in candidates.values) s.free += job.spec.taskResources
            log.debug("job={} claim waits for the write budget", job.id)
        }
    }

    /** A gang whose claims are in the view: its real room decides. */
    private fun claimed(id: String, machines: List<Machine>, use: TeamUsage, term: ULong) {
        if (machines.any { context.transactions.isWritePending(StoreKeys.MACHINE + it.name) } ||
            context.transactions.isWritePending(StoreKeys.JOB + id)
        ) {
            return
        }
        val job = context.view.jobs[id]
        if (job == null || !context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val since = claimedSince.getOrPut(id) { context.nowNs }
        val candidates = machines.mapNotNull { m ->
            context.view.machineStatus(m.name)?.takeIf {
                it.state == MachineHealth.OK && m.takesWork && context.zones?.acceptsPlacements(m) != false
            }?.let { candidate(m, it) }
        }
        val r = GangPlacement.run(job, candidates)
        if (r is GangPlacementResult.Feasible) return commit(job, r.candidates, machines, use, term)
        val patience =
            (context.settings.workers.heartbeatIntervalS * CLAIM_HEARTBEATS + job.spec.checkpointDurationS) *
                NANOS_PER_SECOND
        val hopeless = candidates.size < machines.size || machines.none { it.reservation?.evict == true }
        if (hopeless || context.nowNs - since > patience) {
            release(id, machines, "claimed room is not there")
            park(job, "claimed room is not there")
        }
    }

    private fun commit(
        job: Job,
        candidates: Map<Int, PlacementCandidate>,
        machines: List<Machine>,
        use: TeamUsage,
        term: ULong,
    ) {
        val team = context.settings.teams[job.spec.team] ?: return
        if (use.allows(team.name, job.spec.taskResources) < job.spec.taskCount) {
            release(job.id, machines, "the team's limit")
            return park(job, "the team's limit")
        }
        val fenceKey = StoreKeys.QUOTA_FENCE + team.name
        if (team.limited && context.transactions.isWritePending(fenceKey)) return
        val attempt = job.nextGangAttempt()
        val next = job.place(candidates.mapValues { (_, s) -> Job.Target(s.machine.name, s.incarnation) }, attempt)
        val base = JobTransactions.update(job, next, term)
        val conditions = HashMap(base.conditions)
        val changes = ArrayList(base.changes)
        for (m in machines) {
            // The claim ends with this very write: it is one for an attempt that is placed from then on.
            conditions[StoreKeys.MACHINE + m.name] = m.version
        }
        if (team.limited) {
            conditions[fenceKey] = context.view.version(fenceKey)
            changes += Change.Put(fenceKey, mapOf("job" to job.id))
        }
        if (changes.size > context.settings.stateLimits.txnOps) {
            release(job.id, machines, "more changes than one transaction takes")
            return park(job, "more changes than one transaction takes")
        }
        use.add(team.name, job.spec.taskResources * job.spec.taskCount)
        context.transactions.submit(WriteCause.GANG, Transaction(conditions, changes)) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                for ((i, s) in candidates) {
                    log.info(
                        "job={} task={} attempt={} machine={} term={} gang placed",
                        job.id,
                        i,
                        attempt,
                        s.machine.name,
                        term,
                    )
                }
            } else {
                log.info("job={} term={} gang commit outcome={}", job.id, term, outcome)
            }
        }
    }

    private fun release(id: String, machines: List<Machine>, why: String) {
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = machines.take(context.settings.stateLimits.txnOps).map { m ->
            conditions[StoreKeys.MACHINE + m.name] = m.version
            Change.Put(StoreKeys.MACHINE + m.name, FleetCodec.encode(m.copy(reservation = null)))
        }
        if (context.transactions.submit(
                WriteCause.GANG,
                Transaction(conditions, changes),
            )
        ) {
            log.info("job={} claims released: {}", id, why)
        }
    }

    private fun park(job: Job, why: String) {
        val times = (parked[job.id]?.times ?: 0) + 1
        val wait =
            context.settings.workers.heartbeatIntervalS * PARK_HEARTBEATS * (1 shl minOf(times - 1, MAX_DOUBLINGS))
        parked[job.id] = Parked(context.nowNs + (wait * NANOS_PER_SECOND).toLong(), times)
        if (times == 1) log.info("job={} parked: {}", job.id, why) else log.debug("job={} parked: {}", job.id, why)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.gangs")

        /** Rounds in one batch: a team's huge gangs must not take the leader's whole turn. */
        const val MAX_ROUNDS = 16

        /** The first parking wait, in report intervals; each further one is twice as long. */
        const val PARK_HEARTBEATS = 0.25
        const val MAX_DOUBLINGS = 4

        /** Gangs that have been parked are looked at together, so often. */
        const val LOOK_HEARTBEATS = 0.15

        /** Claimed machines get this many report intervals for halted tasks to leave. */
        const val CLAIM_HEARTBEATS = 4.0
    }
}
