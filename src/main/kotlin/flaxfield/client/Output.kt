package flaxfield.client

import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import com.jakewharton.picnic.TableDsl
import com.jakewharton.picnic.table
import flaxfield.operator.v1.Budget
import flaxfield.operator.v1.BudgetReply
import flaxfield.operator.v1.Capacity
import flaxfield.operator.v1.Drain
import flaxfield.operator.v1.DrainReply
import flaxfield.operator.v1.FairShare
import flaxfield.operator.v1.JobExplanation
import flaxfield.operator.v1.Zone
import flaxfield.operator.v1.ZoneReply
import java.time.Instant
import flaxfield.operator.v1.BudgetList as Budgets
import flaxfield.operator.v1.DrainList as Drains
import flaxfield.operator.v1.MachineList as Machines
import flaxfield.operator.v1.ZoneList as Zones

/** How answers are printed. */
enum class OutputForm { TABLE, JSON }

/**
 * Prints answers: as tables for people, or as the contract's JSON form, whose field names are those of
 * `operator.proto`.
 */
object Output {
    private val json = JsonFormat.printer().preservingProtoFieldNames().includingDefaultValueFields()

    fun drains(reply: Drains, form: OutputForm) = print(reply, form) {
        table(listOf("ID", "STATE", "TARGET", "CORDONED", "REMAINING", "DISRUPTED", "ORDERED")) {
            for (d in reply.drainsList) row(*cells(d))
        }
        revision(reply.revision)
    }

    fun drain(reply: DrainReply, form: OutputForm) = print(reply, form) {
        table(listOf("ID", "STATE", "TARGET", "CORDONED", "REMAINING", "DISRUPTED", "ORDERED")) {
            row(*cells(reply.drain))
        }
        if (reply.drain.note.isNotEmpty()) println(reply.drain.note)
        if (reply.drain.waitsCount > 0) {
            table(listOf("MACHINE", "WAITS FOR", "DETAIL")) {
                for (w in reply.drain.waitsList) row(w.machine, w.reason, w.detail)
            }
        }
        revision(reply.revision)
    }

    fun budgets(reply: Budgets, form: OutputForm) = print(reply, form) {
        budgets(reply.budgetsList)
        revision(reply.revision)
    }

    fun budget(reply: BudgetReply, form: OutputForm) = print(reply, form) {
        budgets(listOf(reply.budget))
        revision(reply.revision)
    }

    fun machines(reply: Machines, form: OutputForm) = print(reply, form) {
        table(listOf("MACHINE", "TYPE", "ZONE", "KIND", "PHASE", "HEALTH", "DRAIN", "TASKS", "TEAMS")) {
            for (m in reply.machinesList) {
                val kind = if (m.preemptible) "preemptible" else "on-demand"
                row(
                    m.name, m.machineType, m.zone, kind, m.phase, m.health, m.drain, m.tasks,
                    m.teamsList.joinToString(
                        " ",
                    ),
                )
            }
        }
        revision(reply.revision)
    }

    fun explanation(reply: JobExplanation, form: OutputForm) = print(reply, form) {
        table(listOf("JOB", "TEAM", "STATE", "TASKS", "DONE", "PLACED", "REASON", "DETAIL")) {
            row(reply.job, reply.team, reply.state, reply.tasks, reply.done, reply.placed, reply.reason, reply.detail)
        }
        revision(reply.revision)
    }

    fun zones(reply: Zones, form: OutputForm) = print(reply, form) {
        zones(reply.zonesList)
        shares(reply.sharesList)
        revision(reply.revision)
    }

    fun zone(reply: ZoneReply, form: OutputForm) = print(reply, form) {
        zones(listOf(reply.zone))
        shares(reply.sharesList)
        revision(reply.revision)
    }

    private fun zones(all: List<Zone>) =
        table(listOf("ZONE", "STATE", "LOSSES", "MACHINES", "OPEN", "HELD", "ABANDONED", "SINCE")) {
            for (z in all) {
                val held = z.heldList.joinToString(" ") { "${it.jobClass}:${it.tasks}" }
                val since = if (z.sinceMs == 0L) "" else Instant.ofEpochMilli(z.sinceMs).toString()
                row(
                    z.name,
                    z.state,
                    z.incarnation,
                    z.machines,
                    z.openMachines,
                    held,
                    z.abandonedList.joinToString(" "),
                    since,
                )
            }
        }

    private fun shares(all: List<FairShare>) = table(listOf("TEAM", "FAIR", "HAS", "SHORT")) {
        for (s in all) row(s.team, amount(s.target), amount(s.held), "%.0f %%".format(s.shortfall * PERCENT))
    }

    private const val PERCENT = 100.0

    private fun budgets(all: List<Budget>) = table(listOf("TEAM", "EXPECTED", "MAY LACK", "LACKS", "BY")) {
        for (b in all) {
            val spent = b.spentList.joinToString(" ") { "${it.by}:${it.tasks}" }
            row(b.team, amount(b.expected), amount(b.allowed), amount(b.unavailable), spent)
        }
    }

    private fun cells(d: Drain): Array<Any> = arrayOf(
        d.id,
        d.state,
        d.target,
        d.cordoned,
        d.remaining,
        d.disrupted,
        Instant.ofEpochMilli(d.orderedMs).toString(),
    )

    private fun amount(c: Capacity) = "%.1f CPU %.1f acc".format(c.cpus, c.accelerators)

    private fun table(head: List<String>, rows: TableDsl.() -> Unit) = println(
        table {
            cellStyle { paddingRight = 2 }
            row(*head.toTypedArray())
            rows()
        },
    )

    private fun revision(revision: Long) = println("revision ${java.lang.Long.toUnsignedString(revision)}")

    private fun print(message: Message, form: OutputForm, asTable: () -> Unit) {
        if (form == OutputForm.JSON) println(json.print(message)) else asTable()
    }
}
