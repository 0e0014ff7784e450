package flaxfield.golden

import flaxfield.controller.ControllerStats
import flaxfield.controller.Metrics
import flaxfield.controller.RequestKind
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause

/** The text of `GET /metrics`. */
object MetricsText {
    private val metrics = textOnly("requests.encode-only.txt") {
        val metrics = Metrics()
        metrics.countRejected()
        RequestKind.entries.forEachIndexed { i, kind -> metrics.recordRequest(kind, (i + 1) * 1_000_000L) }
        // The registry promises no order.
        metrics.text().lines().sorted().joinToString("\n")
    }

    private val counts = textOnly("counts.encode-only.txt") {
        val counts = ControllerStats()
        WriteCause.entries.forEachIndexed { i, cause -> counts.addChanges(cause, i + 1) }
        for (outcome in listOf(
            TransactionOutcome.Committed(1uL),
            TransactionOutcome.Conflict(emptyList(), 1uL),
            TransactionOutcome.Refused(429),
            TransactionOutcome.Unknown,
        )) {
            counts.addOutcome(outcome)
        }
        counts.addDutyTime("reports", 2_000_000)
        counts.addDutyTime("users", 3_500_000)
        counts.text()
    }

    val suite = GoldenSuite("metrics", listOf(metrics, counts))
}
