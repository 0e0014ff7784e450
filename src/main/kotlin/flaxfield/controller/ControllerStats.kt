package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import java.util.TreeMap

/** Counts of the owner thread: changes by cause, failed transactions, time by duty. Only that thread touches it. */
class ControllerStats {
    private val changes = LongArray(WriteCause.entries.size)
    private var conflicts = 0L
    private var refusals = 0L
    private var unknown = 0L

    /** Time by the name of the duty, in nanoseconds. */
    private val dutyNs = TreeMap<String, Long>()

    /** Counts [count] changes that have been sent for [cause]. */
    fun addChanges(cause: WriteCause, count: Int) {
        changes[cause.ordinal] += count.toLong()
    }

    /** Counts a transaction that was not committed. */
    fun addOutcome(outcome: TransactionOutcome) {
        when (outcome) {
            is TransactionOutcome.Committed -> Unit
            is TransactionOutcome.Conflict -> conflicts++
            is TransactionOutcome.Refused -> refusals++
            is TransactionOutcome.Unknown -> unknown++
        }
    }

    /** Adds [elapsedNs] to the time of [duty], which is a label of the metric `flaxfield_duty_seconds`. */
    fun addDutyTime(duty: String, elapsedNs: Long) {
        dutyNs.merge(duty, elapsedNs, Long::plus)
    }

    /** All figures on one line of the log: milliseconds by duty, changes by cause, failed transactions. */
    fun line(): String = buildString {
        for ((duty, ns) in dutyNs) append("${duty}_ms=${ns / NANOS_PER_MILLI} ")
        for (cause in WriteCause.entries) {
            val count = changes[cause.ordinal]
            if (count > 0) append("changes_${cause.name.lowercase()}=$count ")
        }
        append("conflicts=$conflicts refused=$refusals unknown=$unknown")
    }

    /** One line a figure, as `GET /metrics` shows them. */
    fun text(): String = buildString {
        for (cause in WriteCause.entries) {
            append("flaxfield_changes{cause=\"${cause.name.lowercase()}\"} ${changes[cause.ordinal]}\n")
        }
        append("flaxfield_transactions_conflict $conflicts\n")
        append("flaxfield_transactions_refused $refusals\n")
        append("flaxfield_transactions_unknown $unknown\n")
        for ((duty, ns) in dutyNs) append("flaxfield_duty_seconds{duty=\"$duty\"} ${ns / NANOS_PER_SECOND}\n")
    }
}
