package flaxfield.operator

import flaxfield.drain.Capacity
import flaxfield.drain.RepeatPolicy
import flaxfield.drain.WaitReason

/** Codes and descriptions of wait reasons, as operators and their scripts see them; part of the contract. */
object WaitReasonText {
    /** A stable code for scripts. */
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

    /** A description for people. */
    fun detail(reason: WaitReason): String = when (reason) {
        is WaitReason.WithoutConfig -> "controllers without a fleet file: ${reason.members.joinToString()}"
        is WaitReason.RestartForbidden ->
            "${reason.job} of class ${reason.jobClass} ends by itself: the class is repeated ${repeated(reason.policy)}"
        is WaitReason.LargerThanBudget ->
            "${reason.job} takes ${amount(reason.cost)}, " +
                "all that team ${reason.team} may lack is ${amount(reason.allowed)}"
        is WaitReason.BudgetExhausted ->
            "team ${reason.team} lacks ${amount(reason.unavailable)} of ${amount(reason.allowed)}, " +
                "the next step takes ${amount(reason.cost)}"
        is WaitReason.OlderDrainFirst -> "drain ${reason.drain} waits for the budget of team ${reason.team}"
        is WaitReason.Stopping -> "${reason.tasks} tasks have been told to stop"
        is WaitReason.GangInTransition -> "gang ${reason.job} is being stopped or started"
        is WaitReason.NotReporting -> "its worker is ${reason.state.name.lowercase()}"
        is WaitReason.LedgerFull -> "the ledger of team ${reason.team} holds ${reason.entries} tasks"
        is WaitReason.CordonLimitReached -> "${reason.limit} machines are kept from new work already"
    }

    private fun repeated(policy: RepeatPolicy) = when (policy) {
        RepeatPolicy.NEVER -> "never"
        RepeatPolicy.CHECKPOINTED -> "from checkpoints only, and the job saves none"
        RepeatPolicy.ANY -> "at any time"
    }

    private fun amount(capacity: Capacity) =
        "${number(capacity.cpus)} CPUs and ${number(capacity.accelerators)} accelerators"

    private fun number(value: Double): String =
        if (value == Math.rint(value)) value.toLong().toString() else "%.2f".format(value)
}
