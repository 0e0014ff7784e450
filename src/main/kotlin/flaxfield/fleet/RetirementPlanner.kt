package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Why a machine is retired, and the phase that it enters. */
enum class RetirementReason(val phase: MachinePhase) {
    /** The cloud lists it as terminated on its own. */
    FAILED(MachinePhase.RETIRING),

    /** Its heartbeats have stopped. */
    SILENT(MachinePhase.RETIRING),

    /** It fails the tasks that it starts. */
    FAULTY(MachinePhase.RETIRING),

    /** It has not reported within the boot time limit. */
    BOOT_FAILED(MachinePhase.RETIRING),

    /** Tasks of a cancelled job have not stopped in time. */
    CANCELLATION_OVERDUE(MachinePhase.RETIRING),

    /** It was draining, and its last task has left. */
    DRAINED(MachinePhase.RETIRING),

    /** It is empty and not needed. */
    IDLE(MachinePhase.RETIRING),

    /** It is not needed, but still runs array tasks. */
    SURPLUS(MachinePhase.DRAINING),
}

/**
 * Decides which machines are retired, and stores the phase that they enter. [ScaleInReconciler] returns them to the
 * cloud. Confined to the owner thread; only the leader uses it.
 */
class RetirementPlanner(
    private val context: ControllerContext,
    private val scaleIn: ScaleInReconciler,
    private val bootMonitor: BootMonitor,
    private val idleMachines: IdleMachines,
) {
    private class Retirement(val machine: Machine, val reason: RetirementReason, val overdueJob: Job?)

    /**
     * Retires as many machines as fit into one transaction. Boot failures are detected only if [workersHadTimeToReport]
     * in this term.
     */
    fun run(workersHadTimeToReport: Boolean) {
        val candidates = context.view.machines.values
            .mapNotNull { retirement(it, workersHadTimeToReport) }
            .associateBy { it.machine.name }
        val batchSize = context.transactions.budget.maxBulkChanges(context.settings.stateLimits.txnOps)
        val batch = ScaleInOrder.sort(context, candidates.values.map { it.machine })
            .take(batchSize)
            .mapNotNull { candidates[it.name] }
        if (batch.isEmpty() || !store(batch)) return
        batch.forEach(::logRetirement)
    }

    private fun store(batch: List<Retirement>): Boolean {
        val versions = batch.associate { StoreKeys.MACHINE + it.machine.name to it.machine.version }
        val puts = batch.map {
            val retired = it.machine.copy(phase = it.reason.phase, reservation = null)
            Change.Put(StoreKeys.MACHINE + it.machine.name, FleetCodec.encode(retired))
        }
        val transaction = Transaction(JobTransactions.assignmentFence(context) + versions, puts)
        return context.transactions.submit(WriteCause.FLEET, transaction)
    }

    private fun logRetirement(retirement: Retirement) {
        val machine = retirement.machine
        log.info(
            "event=machine_retired term={} machine={} machine_type={} zone={} phase={} reason={} job={}",
            context.leadership.term(),
            machine.name,
            machine.machineType,
            machine.zone,
            retirement.reason.phase,
            retirement.reason.name.lowercase(),
            retirement.overdueJob?.id ?: "none",
        )
    }

    private fun retirement(machine: Machine, workersHadTimeToReport: Boolean): Retirement? {
        if (machine.phase == MachinePhase.RETIRING) return null
        if (context.transactions.isWritePending(StoreKeys.MACHINE + machine.name)) return null
        if (context.zones?.mayReturn(machine) == false) return null
        val overdueJob = overdueCancellation(machine)
        val reason = reason(machine, overdueJob, workersHadTimeToReport) ?: return null
        if (reason.phase == machine.phase) return null
        val causedByJob = reason == RetirementReason.CANCELLATION_OVERDUE
        return Retirement(machine, reason, overdueJob.takeIf { causedByJob })
    }

    private fun reason(machine: Machine, overdueJob: Job?, workersHadTimeToReport: Boolean): RetirementReason? {
        val machineType = context.view.machineTypes[machine.machineType] ?: return null
        if (scaleIn.isFailed(machine.name)) return RetirementReason.FAILED
        val health = context.view.machineStatus(machine.name)?.health ?: return null
        return when {
            health == MachineHealth.SILENT ->
                RetirementReason.SILENT.takeIf { context.zones?.mayReleaseUnreachable(machine) != false }
            health == MachineHealth.FAULTY -> RetirementReason.FAULTY
            health == MachineHealth.UNSEEN && workersHadTimeToReport && hasBootFailed(machine, machineType) ->
                RetirementReason.BOOT_FAILED
            overdueJob != null -> RetirementReason.CANCELLATION_OVERDUE
            else -> reasonToScaleIn(machine, machineType)
        }
    }

    private fun hasBootFailed(machine: Machine, machineType: MachineType): Boolean =
        context.view.isEmpty(machine.name) &&
            bootMonitor.status(machine, machineType, context.nowMs) == BootStatus.FAILED

    /** Returns a job on [machine] whose cancellation is so overdue that only returning the machine can complete it. */
    private fun overdueCancellation(machine: Machine): Job? {
        if (context.view.halting.isEmpty()) return null
        val limitMs = context.settings.workers.cancelS * CANCELLATION_LIMIT_SHARE * MILLIS_PER_SECOND
        return context.view.jobsOn(machine.name).firstOrNull { job ->
            job.cancelledMs?.let { context.nowMs - it > limitMs } ?: false
        }
    }

    private fun reasonToScaleIn(machine: Machine, machineType: MachineType): RetirementReason? {
        val isEmpty = context.view.isEmpty(machine.name)
        if (machine.phase == MachinePhase.DRAINING) return RetirementReason.DRAINED.takeIf { isEmpty }
        val idleSinceNs = idleMachines.idleSinceNs(machine.name) ?: return null
        if (context.view.activeReservation(machine) != null) return null
        val keepIdleS = machineType.bootTimeS * context.operator.keepIdleBoots
        if (context.nowNs - idleSinceNs <= keepIdleS * NANOS_PER_SECOND) return null
        return if (isEmpty) RetirementReason.IDLE else RetirementReason.SURPLUS
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** A machine is returned if a cancelled task still runs on it after this share of `cancel_s`. */
        const val CANCELLATION_LIMIT_SHARE = 0.5
    }
}
