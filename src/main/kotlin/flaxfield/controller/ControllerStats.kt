package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import java.util.TreeMap

/** The owner thread's counters: changes by cause, failed transactions, time by duty. Used only by that thread. */
class ControllerStats {
    private val changes = LongArray(WriteCause.entries.size)
    private var conflicts = 0L
    private var refusals = 0L
    private var unknown = 0L

    /** The number of waiting jobs for which the leader's latest plan found neither a machine nor an offer. */
    var unmetDemands = 0

    /** The number of task events that wait for their commit, as of the latest run of the duty that commits them. */
    var pendingTaskEvents = 0

    /** The number of transactions that were not sent because they exceed a limit of the state service. */
    private var oversized = 0L

    /** The accumulated time in nanoseconds, by duty name. */
    private val dutyNs = TreeMap<String, Long>()

    /** Adds [count] changes that were sent for [cause]. */
    fun addChanges(cause: WriteCause, count: Int) {
        changes[cause.ordinal] += count.toLong()
    }

    /** Counts [outcome] unless the transaction was committed. */
    fun addOutcome(outcome: TransactionOutcome) {
        when (outcome) {
            is TransactionOutcome.Committed -> Unit
            is TransactionOutcome.Conflict -> conflicts++
            is TransactionOutcome.Refused -> refusals++
            is TransactionOutcome.Unknown -> unknown++
        }
    }

    /** Counts a transaction that was not sent because it exceeds a limit of the state service. */
    fun addOversized() {
        oversized++
    }

    /** Adds [elapsedNs] to the time of [duty], a label value of the metric `flaxfield_duty_seconds`. */
    fun addDutyTime(duty: String, elapsedNs: Long) {
        dutyNs.merge(duty, elapsedNs, Long::plus)
    }

    /** Returns all counters as `key=value` pairs of a log line: milliseconds by duty, changes by cause, failures. */
    fun line(): String = buildString {
        for ((duty, ns) in dutyNs) append("${duty}_ms=${ns / NANOS_PER_MILLI} ")
        for (cause in WriteCause.entries) {
            val count = changes[cause.ordinal]
            if (count > 0) append("changes_${cause.name.lowercase()}=$count ")
        }
        append("conflicts=$conflicts refused=$refusals unknown=$unknown oversized=$oversized ")
        append("pending_task_events=$pendingTaskEvents")
    }

    /** Returns all counters in the text format of `GET /metrics`, one per line. */
    fun text(): String = buildString {
        for (cause in WriteCause.entries) {
            append("flaxfield_changes{cause=\"${cause.name.lowercase()}\"} ${changes[cause.ordinal]}\n")
        }
        append("flaxfield_transactions_conflict $conflicts\n")
        append("flaxfield_transactions_refused $refusals\n")
        append("flaxfield_transactions_unknown $unknown\n")
        append("flaxfield_transactions_oversized $oversized\n")
        append("flaxfield_pending_task_events $pendingTaskEvents\n")
        append("flaxfield_unmet_demands $unmetDemands\n")
        for ((duty, ns) in dutyNs) append("flaxfield_duty_seconds{duty=\"$duty\"} ${ns / NANOS_PER_SECOND}\n")
    }
}
