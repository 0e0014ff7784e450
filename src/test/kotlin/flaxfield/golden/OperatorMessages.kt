package flaxfield.golden

import com.google.protobuf.MessageLite
import flaxfield.Samples
import flaxfield.arrays.MachineHealth
import flaxfield.drain.Capacity
import flaxfield.drain.RepeatPolicy
import flaxfield.drain.WaitReason
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.jobs.GangTransactionSize
import flaxfield.operator.BudgetResponses
import flaxfield.operator.DrainResponses
import flaxfield.operator.JobExplainer
import flaxfield.operator.MachineResponses
import flaxfield.operator.WaitReasonText
import flaxfield.operator.ZoneResponses
import org.junit.jupiter.api.Assertions.assertEquals

/** The gRPC responses to operators, built from one snapshot. */
object OperatorMessages {
    private const val MAX_ENTRIES = 100
    private val snapshot = OperatorSnapshot.snapshot
    private val drainResponses get() = DrainResponses(snapshot, MAX_ENTRIES)
    private val budgetResponses get() = BudgetResponses(snapshot)
    private val drainResponsesWithoutConfig get() = DrainResponses(
        snapshot.copy(configs = snapshot.configs.remove("n-1")),
        MAX_ENTRIES,
    )
    private val zoneResponses get() = ZoneResponses(snapshot, OperatorSnapshot.teams)

    private val messages = listOf(
        proto("drains") { drainResponses.drains() },
        proto("drains-without-config") { drainResponsesWithoutConfig.drains() },
        proto("budgets") { budgetResponses.budgets() },
        proto("budget-of-team") { listOf(checkNotNull(budgetResponses.budgetOf("green"))) },
        proto("machines") { MachineResponses(snapshot).machines() },
        proto("zones") { zoneResponses.zones() },
        proto("shares") { zoneResponses.shares() },
        proto("explanations") {
            (OperatorSnapshot.jobs + OperatorSnapshot.waitingJobs).map {
                JobExplainer(
                    snapshot,
                    OperatorSnapshot.teams,
                    GangTransactionSize(Samples.settings().stateLimits),
                    StoredSamples.TIME_MS,
                ).explain(it)
            }
        },
    )

    /** A list of messages, each encoded as one block of bytes; decoding a block must return an equal message. */
    private fun proto(name: String, build: () -> List<MessageLite>) = GoldenCase("$name.hex", { hex(build()) }) { fixture ->
        val expected = build()
        val blocks = fixture.split(SEPARATOR).dropLast(1)
        assertEquals(
            expected,
            blocks.mapIndexed { i, block -> expected[i].parserForType.parseFrom(HexText.bytes(block)) },
        )
        assertEquals(fixture, hex(expected))
    }

    private fun hex(messages: List<MessageLite>) = messages.joinToString("") {
        HexText.of(it.toByteArray()) + SEPARATOR
    }

    private val amount = Capacity(4.0, 0.5)

    private val reasons = listOf(
        WaitReason.WithoutConfig(listOf("n-0", "n-1")),
        WaitReason.LargerThanBudget("job-1", "red", amount, amount),
        WaitReason.BudgetExhausted("red", amount, amount, amount),
        WaitReason.OlderDrainFirst("drain-1", "red"),
        WaitReason.Stopping(3),
        WaitReason.GangInTransition("job-1"),
        WaitReason.LedgerFull("red", 100),
        WaitReason.CordonLimitReached(200),
    ) + RepeatPolicy.entries.map { WaitReason.RestartForbidden("job-1", "train", it) } +
        MachineHealth.entries.map(WaitReason::NotReporting)

    private val waitReasons = textOnly("wait-reasons.encode-only.txt") {
        reasons.joinToString("") { "${WaitReasonText.code(it)}: ${WaitReasonText.detail(it)}\n" }
    }

    private const val SEPARATOR = "--\n"

    val suite = GoldenSuite("operator", messages + waitReasons)
}
