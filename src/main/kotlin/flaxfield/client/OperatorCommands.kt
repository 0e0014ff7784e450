package flaxfield.client

import flaxfield.operator.v1.Change
import flaxfield.operator.v1.ChangeDrainRequest
import flaxfield.operator.v1.ReadRequest
import flaxfield.operator.v1.Selector
import flaxfield.operator.v1.ShowRequest
import flaxfield.operator.v1.StartDrainRequest
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.time.Duration
import java.time.format.DateTimeParseException
import java.util.UUID
import java.util.concurrent.Callable

/**
 * The operators' commands. Each asks a controller and prints its answer; what a script may rely on is in
 * docs/operating-drains.md.
 */
object OperatorCommands {
    /** Runs the command in [args]; the process's exit code. */
    fun run(args: Array<String>): Int {
        val line = CommandLine(Root())
        line.isCaseInsensitiveEnumValuesAllowed = true
        line.setParameterExceptionHandler { e, _ -> failed(ClientFault(ExitCode.USAGE, e.message.orEmpty())) }
        line.setExecutionExceptionHandler { e, _, _ ->
            failed(e as? ClientFault ?: ClientFault(ExitCode.INTERNAL, e.toString()))
        }
        return line.execute(*args)
    }

    private fun failed(fault: ClientFault): Int {
        System.err.println("flaxfield: " + fault.message.orEmpty().lineSequence().first())
        return fault.code.number
    }
}

@Command(
    name = "flaxfield",
    mixinStandardHelpOptions = true,
    subcommands = [DrainCommand::class, BudgetCommand::class, MachinesCommand::class, ExplainCommand::class, ZoneCommand::class],
)
private class Root

/** Options that all clients' commands take. */
class ClientOptions {
    @Option(
        names = ["--endpoint"],
        paramLabel = "HOST:PORT",
        description = ["a controller's operator address; may be given several times: the next one is asked when one does not answer"],
    )
    var endpoints: List<String> = listOf("127.0.0.1:9443")

    @Option(names = ["--output"], paramLabel = "FORM", description = ["table (default) or json"])
    var output: OutputForm = OutputForm.TABLE

    @Option(names = ["--timeout"], paramLabel = "SECONDS", description = ["how long the command may take in all (default 5)"])
    var timeoutS: Double = 5.0

    @Option(names = ["--at-least"], paramLabel = "REVISION", description = ["ask only nodes that have reached this revision"])
    var atLeast: Long = 0

    /** The client that these options ask for. */
    fun client(): OperatorClient {
        if (!(timeoutS > 0.0)) throw ClientFault(ExitCode.USAGE, "--timeout must be above 0")
        return OperatorClient(endpoints, timeoutS)
    }

    fun read(): ReadRequest = ReadRequest.newBuilder().setAtLeast(atLeast).build()

    fun show(name: String): ShowRequest = ShowRequest.newBuilder().setName(name).setAtLeast(atLeast).build()
}

@Command(
    name = "drain",
    description = ["Replaces machines step by step, within every team's disruption budget."],
    mixinStandardHelpOptions = true,
    subcommands = [DrainStart::class, DrainList::class, DrainShow::class, DrainPause::class, DrainResume::class, DrainCancel::class],
)
private class DrainCommand

@Command(name = "start", description = ["Orders a drain. All conditions that are given must hold."], mixinStandardHelpOptions = true)
private class DrainStart : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    @Option(names = ["--id"], description = ["the order's id, made up if not given; a repeat under the same id orders nothing twice"])
    var id: String = "d-" + UUID.randomUUID().toString().take(ID_LETTERS)

    @Option(names = ["--machine"], paramLabel = "NAME", description = ["this machine; may be given several times"])
    var machines: List<String> = emptyList()

    @Option(names = ["--type"], description = ["machines of this type"])
    var machineType: String = ""

    @Option(names = ["--zone"], description = ["machines in this zone"])
    var zone: String = ""

    @Option(names = ["--older-than"], paramLabel = "DURATION", description = ["machines rented longer ago, such as 90m, 12h or 7d"])
    var olderThan: String? = null

    @Option(names = ["--percent"], description = ["only this share of them, the oldest first"])
    var percent: Double? = null

    @Option(names = ["--wait"], description = ["wait, up to --timeout, until the drain is over"])
    var wait: Boolean = false

    override fun call(): Int = options.client().use { client ->
        val selector = Selector.newBuilder().addAllMachines(machines).setMachineType(machineType).setZone(zone)
        olderThan?.let { selector.olderThanS = Durations.seconds(it) }
        percent?.let { selector.percent = it }
        var reply = client.call { it.startDrain(StartDrainRequest.newBuilder().setId(id).setSelector(selector).build()) }
        if (wait) reply = client.until({ OVER.contains(it.drain.state) }) { it.showDrain(options.show(id)) }
        Output.drain(reply, options.output)
        if (wait && reply.drain.state != "done") ExitCode.NOT_DONE.number else ExitCode.OK.number
    }

    private companion object {
        const val ID_LETTERS = 8
        val OVER = setOf("done", "cancelled", "failed")
    }
}

@Command(name = "list", description = ["Lists all drains, the oldest first."], mixinStandardHelpOptions = true)
private class DrainList : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    override fun call(): Int = options.client().use { client ->
        Output.drains(client.call { it.listDrains(options.read()) }, options.output)
        ExitCode.OK.number
    }
}

@Command(name = "show", description = ["Shows a drain, and why what waits does so."], mixinStandardHelpOptions = true)
private class DrainShow : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun call(): Int = options.client().use { client ->
        Output.drain(client.call { it.showDrain(options.show(id)) }, options.output)
        ExitCode.OK.number
    }
}

/** What the commands that change a drain have in common. */
abstract class DrainChange(private val change: Change) : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun call(): Int = options.client().use { client ->
        val request = ChangeDrainRequest.newBuilder().setId(id).setChange(change).build()
        Output.drain(client.call { it.changeDrain(request) }, options.output)
        ExitCode.OK.number
    }
}

@Command(name = "pause", description = ["Takes no further steps until the drain is resumed."], mixinStandardHelpOptions = true)
private class DrainPause : DrainChange(Change.PAUSE)

@Command(name = "resume", description = ["Goes on with a paused drain."], mixinStandardHelpOptions = true)
private class DrainResume : DrainChange(Change.RESUME)

@Command(name = "cancel", description = ["Gives the machines that are left back to new work."], mixinStandardHelpOptions = true)
private class DrainCancel : DrainChange(Change.CANCEL)

@Command(
    name = "budget",
    description = ["Tells what teams may lack and what they do lack."],
    mixinStandardHelpOptions = true,
    subcommands = [BudgetList::class, BudgetShow::class],
)
private class BudgetCommand

@Command(name = "list", description = ["Lists the budgets of all teams."], mixinStandardHelpOptions = true)
private class BudgetList : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    override fun call(): Int = options.client().use { client ->
        Output.budgets(client.call { it.listBudgets(options.read()) }, options.output)
        ExitCode.OK.number
    }
}

@Command(name = "show", description = ["Shows one team's budget, and by whom it is spent."], mixinStandardHelpOptions = true)
private class BudgetShow : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    @Parameters(paramLabel = "TEAM")
    lateinit var team: String

    override fun call(): Int = options.client().use { client ->
        Output.budget(client.call { it.showBudget(options.show(team)) }, options.output)
        ExitCode.OK.number
    }
}

@Command(name = "machines", mixinStandardHelpOptions = true, subcommands = [MachineList::class])
private class MachinesCommand

@Command(name = "list", description = ["Lists the machines, their drains and the teams on them."], mixinStandardHelpOptions = true)
private class MachineList : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    override fun call(): Int = options.client().use { client ->
        Output.machines(client.call { it.listMachines(options.read()) }, options.output)
        ExitCode.OK.number
    }
}

@Command(name = "explain", mixinStandardHelpOptions = true, subcommands = [ExplainJob::class])
private class ExplainCommand

@Command(name = "job", description = ["Tells the condition that a job waits for."], mixinStandardHelpOptions = true)
private class ExplainJob : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun call(): Int = options.client().use { client ->
        Output.explanation(client.call { it.explainJob(options.show(id)) }, options.output)
        ExitCode.OK.number
    }
}

/** Durations as operators write them. */
object Durations {
    private val FORM = Regex("[0-9]+(\\.[0-9]+)?[smhd]")
    private const val DAY_S = 86_400.0

    /** The seconds of a duration such as `90m`; throws [ClientFault] if it is none. */
    fun seconds(text: String): Double {
        if (!FORM.matches(text)) throw ClientFault(ExitCode.USAGE, "'$text' is not a duration such as 90m, 12h or 7d")
        if (text.endsWith("d")) return text.dropLast(1).toDouble() * DAY_S
        return try {
            Duration.parse("PT" + text.uppercase()).toMillis() / MILLIS
        } catch (e: DateTimeParseException) {
            val unit = if (text.endsWith("h")) HOUR_S else MINUTE_S
            text.dropLast(1).toDouble() * unit
        }
    }

    private const val MILLIS = 1000.0
    private const val MINUTE_S = 60.0
    private const val HOUR_S = 3_600.0
}
