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
 * The scheduling loop of one shard owner: publishes its machines' status, drains and evicts where that is asked for,
 * and places arrays on its own machines. Every controller that may act runs one, each on its own shard.
 */
class ArrayScheduler(private val context: ControllerContext, workerHealth: WorkerHealth, halts: HaltDispatcher) {
    private val summaries = ShardSummaryPublisher(context, workerHealth)
    private val drainer = MachineDrainer(context, halts)
    private val inFlight = InFlightPlacements(context.transactions)
    private val turns = ShardTurns(context)
    private val arrayCandidates = ArrayCandidates(context, workerHealth, inFlight)
    private val taskPlacer = ArrayTaskPlacer(context, inFlight, turns)
    private val initialPlacer = InitialPlacer(context, arrayCandidates, inFlight)

    /** What one scheduling cycle works on. */
    private class Cycle(
        val candidates: List<PlacementCandidate>,
        val usage: TeamUsage,
        val headOfLine: HeadOfLineReservations,
        val term: ULong,
    )

    /** One scheduling cycle; does nothing on a controller that may not act. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        summaries.run(term)
        drainer.run(term)
        schedule(term)
    }

    /** Places a small job that is just being submitted; null if it must wait, see [InitialPlacer]. */
    fun placeOnSubmission(job: Job): InitialPlacement? = initialPlacer.place(job)

    private fun schedule(term: ULong) {
        inFlight.releaseSettled()
        // Asked before the jobs are looked at: without write budget, sorting them would be in vain.
        if (!context.transactions.mayWrite(WriteCause.ARRAY, 1)) return
        val (waiting, underWay) = pendingArrays(context).partition {
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
        val tierBarrier = context.zones?.tierBarrier(underWay)
        for (job in context.scheduling.schedulingOrder(waiting, cycle.usage)) {
            if (tierBarrier?.admits(job) == false) break
            if (!turns.isOurTurn(job)) {
                tierBarrier?.holdBack(job)
                continue
            }
            // Later jobs are less urgent: none of them goes first for want of write budget.
            val writes = if (isQuotaLimited(context, job)) 2 else 1
            if (!context.transactions.mayWrite(WriteCause.ARRAY, writes)) break
            scheduleJob(job, cycle)
        }
    }

    private fun scheduleJob(job: Job, cycle: Cycle) {
        val eligible = arrayCandidates.eligible(job, cycle.candidates)
            .filter { cycle.headOfLine.admits(job.spec, it) }
        val placed = if (eligible.isEmpty()) 0 else taskPlacer.place(job, eligible, cycle.usage, cycle.term)
        val missing = minOf(job.pendingCount - placed, context.scheduling.admissibleTasks(job, cycle.usage))
        // Keeps one place of the team's quota for a starved job without a machine: else it loses each place that comes
        // free to the jobs after it.
        if (placed == 0 && context.scheduling.isStarved(job)) cycle.usage.add(job.spec.team, job.spec.taskResources)
        if (missing > 0 && !job.isCrashLooping) {
            val ourShare = missing / (context.view.assignment?.members?.size ?: 1) + 1
            cycle.headOfLine.reserve(job.spec, ourShare, cycle.candidates) { arrayCandidates.isSuitable(job, it) }
        }
    }

    /** The least of each resource that any of [jobs] asks for: a machine with less free is of use to none of them. */
    private fun smallestRequest(jobs: List<Job>) = Resources(
        jobs.minOf { it.spec.taskResources.cpus },
        jobs.minOf { it.spec.taskResources.gpus },
        jobs.minOf { it.spec.taskResources.memoryGb },
    )
}

/** The arrays in the view with tasks that are due to be placed. */
internal fun pendingArrays(context: ControllerContext): List<Job> = context.view.jobs.values.filter {
    !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= context.nowMs
}

/** Whether a placement of [job] must also bump its team's quota fence. */
internal fun isQuotaLimited(context: ControllerContext, job: Job): Boolean =
    context.settings.teams[job.spec.team]?.hasLimit ?: false
