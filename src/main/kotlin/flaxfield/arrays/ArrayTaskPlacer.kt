package flaxfield.arrays

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.JobTransactions
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Places as many of an array's pending tasks as fit now, in one transaction. */
class ArrayTaskPlacer(
    private val context: ControllerContext,
    private val inFlight: InFlightPlacements,
    private val turns: ShardTurns,
) {
    /**
     * Submits a placement of [job] on [candidates] and adds it to [usage]. Returns its number of tasks, even if it is
     * deferred for lack of write budget.
     */
    fun place(job: Job, candidates: List<PlacementCandidate>, usage: TeamUsage, term: ULong): Int {
        val team = context.settings.teams[job.spec.team] ?: return 0
        if (team.hasLimit && context.transactions.isWritePending(StoreKeys.QUOTA_FENCE + team.name)) return 0
        val placement = findPlacement(job, candidates, usage)
        if (placement.isEmpty()) return 0
        usage.add(team.name, job.spec.taskResources * placement.size)
        val isSmallPlacement = placement.size < minOf(JobTransactions.BULK_TASKS, job.pendingCount)
        val cause = if (isSmallPlacement) WriteCause.TRICKLE else WriteCause.ARRAY
        if (context.transactions.mayWrite(cause, if (team.hasLimit) 2 else 1)) {
            send(job, placement, team, cause, term)
        } else {
            log.debug("event=placement_deferred job={} reason=write_budget", job.id)
        }
        return placement.size
    }

    private fun findPlacement(
        job: Job,
        candidates: List<PlacementCandidate>,
        usage: TeamUsage,
    ): Map<Int, PlacementCandidate> {
        val tasks = minOf(
            context.scheduling.admissibleTasks(job, usage),
            MAX_TASKS_PER_PLACEMENT,
            maxConcurrentTasks(job) - job.placedCount,
        )
        val limits = ArrayPlacement.Limits(
            tasks,
            MAX_MACHINES_PER_PLACEMENT,
            JobTransactions.maxChunks(context.settings.stateLimits),
        )
        val topology = TopologyConstraint(job.spec, TopologyConstraint.placedZones(job, context.view.machines))
        return ArrayPlacement.place(job, candidates, topology, turns.firstTask(job), limits, context.nowMs) {
            !context.transactions.isWritePending(StoreKeys.chunk(job.id, it))
        }
    }

    private fun maxConcurrentTasks(job: Job): Int = if (job.isCrashLooping) {
        MAX_SUSPECT_TASKS
    } else {
        ShortTaskPolicy.maxConcurrentTasks(
            job.spec,
            bootTimeS(job),
            context.settings.workers.heartbeatIntervalS,
        )
    }

    /** Returns the shortest boot time of the machine types that may run [job], in seconds. */
    private fun bootTimeS(job: Job): Double = context.view.machineTypes.values
        .filter { JobAdmission.allowed(job.spec, it) }
        .minOfOrNull { it.bootTimeS } ?: 0.0

    private fun send(job: Job, placement: Map<Int, PlacementCandidate>, team: Team, cause: WriteCause, term: ULong) {
        val placedJob = job.place(placement.mapValues { (_, candidate) -> candidate.target() })
        val base = JobTransactions.update(job, placedJob, term)
        val transaction = withFences(base, job, placement, team)
        val sent = context.transactions.submit(cause, transaction) { outcome ->
            logOutcome(placedJob, placement, term, outcome)
        }
        if (sent) {
            inFlight.add(job.spec, base.changes.map { it.key }, placement.values.map { it.machine.name })
        }
    }

    /**
     * Returns [base] with the condition that the machines' records are unchanged. If the team has a limit, also
     * requires its quota fence to be unchanged, and updates the fence.
     */
    private fun withFences(
        base: Transaction,
        job: Job,
        placement: Map<Int, PlacementCandidate>,
        team: Team,
    ): Transaction {
        val conditions = base.conditions + machineVersions(placement.values)
        if (!team.hasLimit) return Transaction(conditions, base.changes)
        val fenceKey = StoreKeys.QUOTA_FENCE + team.name
        return Transaction(
            conditions + (fenceKey to context.view.version(fenceKey)),
            base.changes + Change.Put(fenceKey, mapOf("job" to job.id)),
        )
    }

    private fun logOutcome(
        placedJob: Job,
        placement: Map<Int, PlacementCandidate>,
        term: ULong,
        outcome: TransactionOutcome,
    ) {
        if (outcome !is TransactionOutcome.Committed) {
            log.debug("event=placement_failed term={} job={} outcome={}", term, placedJob.id, outcome)
            return
        }
        for ((task, candidate) in placement) {
            log.info(
                "event=task_placed term={} job={} task={} attempt={} machine={}",
                term,
                placedJob.id,
                task,
                placedJob.placed(task)?.attempt,
                candidate.machine.name,
            )
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.arrays")

        /** Bounds the duration of one scheduling cycle. The remaining tasks are placed in the next one. */
        const val MAX_TASKS_PER_PLACEMENT = 256

        /**
         * Each machine adds a condition to the transaction, which may have four times as many conditions as changes.
         */
        const val MAX_MACHINES_PER_PLACEMENT = 64

        /**
         * The maximum number of concurrent tasks of a job that repeatedly fails, to retry it without starting the whole
         * array.
         */
        const val MAX_SUSPECT_TASKS = 2
    }
}

/** Returns the conditions that the candidates' machine records still have the versions in the view. */
internal fun machineVersions(candidates: Collection<PlacementCandidate>): Map<String, ULong> =
    candidates.distinct().associate { StoreKeys.MACHINE + it.machine.name to it.machine.version }
