package flaxfield.arrays

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.quota.TeamUsage
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.WorkerHealth

/**
 * The scheduling loop of one shard owner. It publishes the status of its machines, evicts tasks from draining and
 * reserved machines, and places arrays on its machines. Every controller that may act runs one for its own shard.
 */
class ArrayScheduler(private val context: ControllerContext, workerHealth: WorkerHealth, halts: HaltDispatcher) {
    private val summaries = ShardSummaryPublisher(context, workerHealth)
    private val drainer = MachineDrainer(context, halts)
    private val inFlight = InFlightPlacements(context.transactions)
    private val turns = ShardTurns(context)
    private val arrayCandidates = ArrayCandidates(context, workerHealth, inFlight)
    private val taskPlacer = ArrayTaskPlacer(context, inFlight, turns)
    private val initialPlacer = InitialPlacer(context, arrayCandidates, inFlight)

    /** The state of one scheduling cycle. */
    private class Cycle(
        val candidates: List<PlacementCandidate>,
        val usage: TeamUsage,
        val headOfLine: HeadOfLineReservations,
        val term: ULong,
    )

    /** Runs one scheduling cycle. Does nothing on a controller that may not act. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        summaries.run(term)
        drainer.run(term)
        schedule(term)
    }

    /** Places a small job that is being submitted. Returns null if it must wait, see [InitialPlacer]. */
    fun placeOnSubmission(job: Job): InitialPlacement? = initialPlacer.place(job)

    private fun schedule(term: ULong) {
        inFlight.removeCompleted()
        // Checked before the jobs are sorted: without write budget no placement could be written.
        if (!context.transactions.mayWrite(WriteCause.ARRAY, 1)) return
        val (waiting, beingWritten) = pendingArrays(context).partition {
            it.id !in inFlight && !context.transactions.isWritePending(StoreKeys.JOB + it.id)
        }
        turns.retain(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        val candidates = arrayCandidates.list(smallestRequest(waiting))
        if (candidates.isEmpty()) return
        val headOfLine = HeadOfLineReservations {
            context.view.machineTypes[it.machine.machineType]?.capacity ?: Resources.NONE
        }
        val cycle = Cycle(candidates, context.scheduling.teamUsage(), headOfLine, term)
        val tierBarrier = context.zones?.tierBarrier(beingWritten)
        for (job in context.scheduling.schedulingOrder(waiting, cycle.usage)) {
            if (tierBarrier?.admits(job) == false) break
            if (!turns.isOurTurn(job)) {
                tierBarrier?.holdBack(job)
                continue
            }
            // Stops at the first job that the write budget does not cover: later jobs are less urgent and must not
            // overtake it.
            val writes = if (isQuotaLimited(context, job)) 2 else 1
            if (!context.transactions.mayWrite(WriteCause.ARRAY, writes)) break
            scheduleJob(job, cycle)
        }
    }

    private fun scheduleJob(job: Job, cycle: Cycle) {
        val eligible = arrayCandidates.eligible(job, cycle.candidates)
            .filter { cycle.headOfLine.admits(job.spec, it) }
        val placed = if (eligible.isEmpty()) 0 else taskPlacer.place(job, eligible, cycle.usage, cycle.term)
        val unplacedTasks = minOf(job.pendingCount - placed, context.scheduling.admissibleTasks(job, cycle.usage))
        // Reserves quota for one task of a starved job that found no machine. Otherwise later jobs of its team take any
        // quota that becomes free.
        if (placed == 0 && context.scheduling.isStarved(job)) cycle.usage.add(job.spec.team, job.spec.taskResources)
        if (unplacedTasks > 0 && !job.isCrashLooping) {
            val tasksForShard = unplacedTasks / (context.view.assignment?.members?.size ?: 1) + 1
            cycle.headOfLine.reserve(job.spec, tasksForShard, cycle.candidates) {
                it.admits(job, context.nowMs) && arrayCandidates.isSuitable(job, it)
            }
        }
    }

    /** Returns the smallest request of [jobs] for each resource. A machine with less free can't run any of them. */
    private fun smallestRequest(jobs: List<Job>) = Resources(
        jobs.minOf { it.spec.taskResources.cpus },
        jobs.minOf { it.spec.taskResources.gpus },
        jobs.minOf { it.spec.taskResources.memoryGb },
    )
}

/** Returns the arrays in the view that have pending tasks and whose retry time has passed. */
internal fun pendingArrays(context: ControllerContext): List<Job> = context.view.jobs.values.filter {
    !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= context.nowMs
}

/** Whether the team of [job] has a limit, so that a placement must also update the team's quota fence. */
internal fun isQuotaLimited(context: ControllerContext, job: Job): Boolean =
    context.settings.teams[job.spec.team]?.hasLimit ?: false
