package flaxfield.client

import flaxfield.operator.v1.Change
import flaxfield.operator.v1.ChangeDrainRequest
import flaxfield.operator.v1.Selector
import flaxfield.operator.v1.StartDrainRequest
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.util.UUID

/** `drain`: orders, changes and shows drains; see docs/operating-drains.md. */
@Command(
    name = "drain",
    description = ["Replaces machines step by step, within every team's disruption budget."],
    mixinStandardHelpOptions = true,
    subcommands = [
        DrainStart::class,
        DrainList::class,
        DrainShow::class,
        DrainPause::class,
        DrainResume::class,
        DrainCancel::class,
    ],
)
internal class DrainCommand

@Command(
    name = "start",
    description = ["Orders a drain. All conditions that are given must hold."],
    mixinStandardHelpOptions = true,
)
private class DrainStart : ControllerCommand() {
    @Option(
        names = ["--id"],
        description = ["the order's id, made up if not given; a repeat under the same id orders nothing twice"],
    )
    var id: String = "d-" + UUID.randomUUID().toString().take(ID_LETTERS)

    @Option(names = ["--machine"], paramLabel = "NAME", description = ["this machine; may be given several times"])
    var machines: List<String> = emptyList()

    @Option(names = ["--type"], description = ["machines of this type"])
    var machineType: String = ""

    @Option(names = ["--zone"], description = ["machines in this zone"])
    var zone: String = ""

    @Option(
        names = ["--older-than"],
        paramLabel = "DURATION",
        description = ["machines rented longer ago, such as 90m, 12h or 7d"],
    )
    var olderThan: String? = null

    @Option(names = ["--percent"], description = ["only this share of them, the oldest first"])
    var percent: Double? = null

    @Option(names = ["--wait"], description = ["wait, up to --timeout, until the drain is over"])
    var wait: Boolean = false

    override fun run(client: OperatorClient): ExitCode {
        val request = request()
        var reply = client.call { it.startDrain(request) }
        if (wait) reply = client.until({ it.drain.state in FINAL_STATES }) { it.showDrain(options.show(id)) }
        Output.drain(reply, options.output)
        return if (wait && reply.drain.state != DONE) ExitCode.NOT_DONE else ExitCode.OK
    }

    private fun request(): StartDrainRequest {
        val selector = Selector.newBuilder().addAllMachines(machines).setMachineType(machineType).setZone(zone)
        olderThan?.let { selector.olderThanS = Durations.seconds(it) }
        percent?.let { selector.percent = it }
        return StartDrainRequest.newBuilder().setId(id).setSelector(selector).build()
    }

    private companion object {
        const val ID_LETTERS = 8
        const val DONE = "done"
        val FINAL_STATES = setOf(DONE, "cancelled", "failed")
    }
}

@Command(name = "list", description = ["Lists all drains, the oldest first."], mixinStandardHelpOptions = true)
private class DrainList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.drains(client.call { it.listDrains(options.read()) }, options.output)
        return ExitCode.OK
    }
}

@Command(name = "show", description = ["Shows a drain, and why what waits does so."], mixinStandardHelpOptions = true)
private class DrainShow : ControllerCommand() {
    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun run(client: OperatorClient): ExitCode {
        Output.drain(client.call { it.showDrain(options.show(id)) }, options.output)
        return ExitCode.OK
    }
}

/** A command that changes one drain. */
private abstract class DrainChange(private val change: Change) : ControllerCommand() {
    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun run(client: OperatorClient): ExitCode {
        val request = ChangeDrainRequest.newBuilder().setId(id).setChange(change).build()
        Output.drain(client.call { it.changeDrain(request) }, options.output)
        return ExitCode.OK
    }
}

@Command(
    name = "pause",
    description = ["Takes no further steps until the drain is resumed."],
    mixinStandardHelpOptions = true,
)
private class DrainPause : DrainChange(Change.PAUSE)

@Command(name = "resume", description = ["Goes on with a paused drain."], mixinStandardHelpOptions = true)
private class DrainResume : DrainChange(Change.RESUME)

@Command(
    name = "cancel",
    description = ["Gives the machines that are left back to new work."],
    mixinStandardHelpOptions = true,
)
private class DrainCancel : DrainChange(Change.CANCEL)
