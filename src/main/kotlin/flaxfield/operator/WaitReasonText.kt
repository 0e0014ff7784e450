package flaxfield.operator

import flaxfield.drain.Capacity
import flaxfield.drain.RepeatPolicy
import flaxfield.drain.WaitReason

/** The codes and descriptions of wait reasons. The codes are part of the operators' API. */
object WaitReasonText {
    /** Returns a stable code for scripts. */
    fun code(reason: WaitReason): String = when (reason) {
        is WaitReason.WithoutConfig -> "without_fleet_file"
        is WaitReason.RestartForbidden -> "no_repeat"
        is WaitReason.LargerThanBudget -> "larger_than_budget"
        is WaitReason.BudgetExhausted -> "budget_spent"
        is WaitReason.OlderDrainFirst -> "older_drain_first"
        is WaitReason.Stopping -> "stopping"
        is WaitReason.GangInTransition -> "gang_unsettled"
        is WaitReason.NotReporting -> "not_reporting"
        is WaitReason.LedgerFull -> "ledger_full"
        is WaitReason.CordonLimitReached -> "most_cordoned"
    }

    /** Returns a description for people. */
    fun detail(reason: WaitReason): String = when (reason) {
        is WaitReason.WithoutConfig -> "controllers without a fleet file: ${reason.members.joinToString()}"
        is WaitReason.RestartForbidden ->
            "${reason.job} must run to completion; " +
                "restart policy of class ${reason.jobClass}: ${describe(reason.policy)}"
        is WaitReason.LargerThanBudget ->
            "${reason.job} uses ${amount(reason.cost)}, " +
                "but the budget of team ${reason.team} is only ${amount(reason.allowed)}"
        is WaitReason.BudgetExhausted ->
            "team ${reason.team} has ${amount(reason.unavailable)} unavailable " +
                "of a budget of ${amount(reason.allowed)}; the next eviction needs ${amount(reason.cost)}"
        is WaitReason.OlderDrainFirst -> "the older drain ${reason.drain} waits for the budget of team ${reason.team}"
        is WaitReason.Stopping -> "${reason.tasks} tasks are being stopped"
        is WaitReason.GangInTransition -> "gang ${reason.job} is being stopped or started"
        is WaitReason.NotReporting -> "the health of the machine is ${reason.state.name.lowercase()}"
        is WaitReason.LedgerFull -> "the ledger of team ${reason.team} is full (${reason.entries} tasks)"
        is WaitReason.CordonLimitReached -> "the limit of ${reason.limit} cordoned machines is reached"
    }

    private fun describe(policy: RepeatPolicy) = when (policy) {
        RepeatPolicy.NEVER -> "never"
        RepeatPolicy.CHECKPOINTED -> "from checkpoints only, and the job writes none"
        RepeatPolicy.ANY -> "at any time"
    }

    private fun amount(capacity: Capacity) =
        "${number(capacity.cpus)} CPUs and ${number(capacity.accelerators)} accelerators"

    private fun number(value: Double): String =
        if (value == Math.rint(value)) value.toLong().toString() else "%.2f".format(value)
}
