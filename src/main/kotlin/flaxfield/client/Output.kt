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
import flaxfield.operator.v1.Machine
import flaxfield.operator.v1.Zone
import flaxfield.operator.v1.ZoneReply
import java.time.Instant
import flaxfield.operator.v1.BudgetList as Budgets
import flaxfield.operator.v1.DrainList as Drains
import flaxfield.operator.v1.MachineList as Machines
import flaxfield.operator.v1.ZoneList as Zones

/** The output formats of responses. */
internal enum class OutputFormat { TABLE, JSON }

/** Prints responses either as tables or as JSON with the field names of `operator.proto`. */
internal object Output {
    private const val PERCENT = 100.0
    private val json = JsonFormat.printer().preservingProtoFieldNames().includingDefaultValueFields()

    /** Prints a list of drains. */
    fun drains(reply: Drains, format: OutputFormat) = print(reply, format, reply.revision) {
        drains(reply.drainsList)
    }

    /** Prints a drain and the reasons why its machines wait. */
    fun drain(reply: DrainReply, format: OutputFormat) = print(reply, format, reply.revision) {
        drains(listOf(reply.drain))
        if (reply.drain.note.isNotEmpty()) println(reply.drain.note)
        if (reply.drain.waitsCount > 0) {
            printTable("MACHINE", "WAITS FOR", "DETAIL") {
                for (wait in reply.drain.waitsList) row(wait.machine, wait.reason, wait.detail)
            }
        }
    }

    /** Prints the teams' disruption budgets. */
    fun budgets(reply: Budgets, format: OutputFormat) = print(reply, format, reply.revision) {
        budgets(reply.budgetsList)
    }

    /** Prints a team's disruption budget. */
    fun budget(reply: BudgetReply, format: OutputFormat) = print(reply, format, reply.revision) {
        budgets(listOf(reply.budget))
    }

    /** Prints a list of machines. */
    fun machines(reply: Machines, format: OutputFormat) = print(reply, format, reply.revision) {
        machines(reply.machinesList)
    }

    /** Prints why a job is in its state. */
    fun explanation(reply: JobExplanation, format: OutputFormat) = print(reply, format, reply.revision) {
        printTable("JOB", "TEAM", "STATE", "TASKS", "DONE", "PLACED", "REASON", "DETAIL") {
            row(reply.job, reply.team, reply.state, reply.tasks, reply.done, reply.placed, reply.reason, reply.detail)
        }
    }

    /** Prints the zones and the fair shares of teams. */
    fun zones(reply: Zones, format: OutputFormat) = print(reply, format, reply.revision) {
        zones(reply.zonesList)
        shares(reply.sharesList)
    }

    /** Prints a zone and the fair shares of teams. */
    fun zone(reply: ZoneReply, format: OutputFormat) = print(reply, format, reply.revision) {
        zones(listOf(reply.zone))
        shares(reply.sharesList)
    }

    private fun drains(drains: List<Drain>) =
        printTable("ID", "STATE", "TARGET", "CORDONED", "REMAINING", "DISRUPTED", "ORDERED") {
            for (drain in drains) {
                row(
                    drain.id,
                    drain.state,
                    drain.target,
                    drain.cordoned,
                    drain.remaining,
                    drain.disrupted,
                    Instant.ofEpochMilli(drain.orderedMs).toString(),
                )
            }
        }

    private fun budgets(budgets: List<Budget>) = printTable("TEAM", "EXPECTED", "MAY LACK", "LACKS", "BY") {
        for (budget in budgets) {
            val causes = budget.spentList.joinToString(" ") { "${it.by}:${it.tasks}" }
            row(budget.team, amount(budget.expected), amount(budget.allowed), amount(budget.unavailable), causes)
        }
    }

    private fun machines(machines: List<Machine>) =
        printTable("MACHINE", "TYPE", "ZONE", "KIND", "PHASE", "HEALTH", "DRAIN", "TASKS", "TEAMS") {
            for (machine in machines) {
                row(
                    machine.name,
                    machine.machineType,
                    machine.zone,
                    if (machine.preemptible) "preemptible" else "on-demand",
                    machine.phase,
                    machine.health,
                    machine.drain,
                    machine.tasks,
                    machine.teamsList.joinToString(" "),
                )
            }
        }

    private fun zones(zones: List<Zone>) =
        printTable("ZONE", "STATE", "LOSSES", "MACHINES", "OPEN", "HELD", "ABANDONED", "SINCE") {
            for (zone in zones) {
                row(
                    zone.name,
                    zone.state,
                    zone.incarnation,
                    zone.machines,
                    zone.openMachines,
                    zone.heldList.joinToString(" ") { "${it.jobClass}:${it.tasks}" },
                    zone.abandonedList.joinToString(" "),
                    if (zone.sinceMs == 0L) "" else Instant.ofEpochMilli(zone.sinceMs).toString(),
                )
            }
        }

    private fun shares(shares: List<FairShare>) = printTable("TEAM", "FAIR", "HAS", "SHORT") {
        for (share in shares) {
            row(share.team, amount(share.target), amount(share.held), "%.0f %%".format(share.shortfall * PERCENT))
        }
    }

    private fun amount(capacity: Capacity) = "%.1f CPU %.1f acc".format(capacity.cpus, capacity.accelerators)

    private fun printTable(vararg headings: String, rows: TableDsl.() -> Unit) {
        val table = table {
            cellStyle { paddingRight = 2 }
            row(*headings)
            rows()
        }
        println(table)
    }

    /** Prints [message] as JSON, or as tables with [printTables] followed by the [revision] of the response. */
    private fun print(message: Message, format: OutputFormat, revision: Long, printTables: () -> Unit) {
        if (format == OutputFormat.JSON) return println(json.print(message))
        printTables()
        println("revision ${java.lang.Long.toUnsignedString(revision)}")
    }
}
