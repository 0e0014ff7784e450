package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import java.util.TreeMap

/** What the owner thread counts; plain numbers, read by [Metrics] when it is asked. */
class ControllerStats {
    private val changes = LongArray(WriteCause.entries.size)
    private var conflicts = 0L
    private var refusals = 0L
    private var unknown = 0L

    /** Time the owner thread spent on each of its duties, in nanoseconds. */
    private val spentNs = TreeMap<String, Long>()

    fun written(cause: WriteCause, n: Int) {
        changes[cause.ordinal] += n.toLong()
    }

    fun outcome(o: TransactionOutcome) {
        when (o) {
            is TransactionOutcome.Committed -> Unit
            is TransactionOutcome.Conflict -> conflicts++
            is TransactionOutcome.Refused -> refusals++
            is TransactionOutcome.Unknown -> unknown++
        }
    }

    fun spent(duty: String, ns: Long) {
        spentNs.merge(duty, ns, Long::plus)
    }

    /** All figures on one line: milliseconds by duty, changes by cause. */
    fun line(): String = spentNs.entries.joinToString(" ") { "${it.key}=${it.value / NANOS_PER_MILLI}" } +
        WriteCause.entries.filter {
            changes[it.ordinal] > 0
        }.joinToString("") { " ${it.name.lowercase()}:${changes[it.ordinal]}" } +
        " conflict:$conflicts refused:$refusals unknown:$unknown"

    /** One line a figure, as `GET /metrics` shows them. */
    fun text(): String = buildString {
        for (c in WriteCause.entries) {
            append(
                "flaxfield_changes{cause=\"${c.name.lowercase()}\"} ${changes[c.ordinal]}\n",
            )
        }
        append("flaxfield_transactions_conflict $conflicts\n")
        append("flaxfield_transactions_refused $refusals\n")
        append("flaxfield_transactions_unknown $unknown\n")
        for ((duty, ns) in spentNs) append("flaxfield_duty_seconds{duty=\"$duty\"} ${ns / NANOS_PER_SECOND}\n")
    }
}
