package flaxfield.cli

import flaxfield.codec.MalformedException
import flaxfield.node.Node
import flaxfield.settings.Address
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Peer
import flaxfield.settings.Settings
import flaxfield.settings.StateLimits
import flaxfield.settings.WorkerTimes
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.ParameterException
import java.math.BigInteger
import java.security.SecureRandom
import kotlin.system.exitProcess

private const val VERSION = "0.1.0"
private const val WARM_UP = "warm-up"
private const val WARM_UP_MS = 1_500L
private const val EXIT_USAGE = 2
private const val EXIT_FAULT = 3

/** The command line; the model is built by hand, since annotations would cost reflection at every start. */
fun commandLine(): CommandLine {
    val serve = CommandSpec.create().name("serve")
    serve.usageMessage().description("Runs one controller until it is killed.")
    serve.addOption(
        OptionSpec.builder("--config").paramLabel("FILE").type(String::class.java).required(true)
            .description("the platform's JSON settings file").build(),
    )
    serve.addOption(
        OptionSpec.builder("--properties").paramLabel("FILE").type(String::class.java)
            .description("the operators' own settings").build(),
    )
    serve.addHelp()
    val root = CommandSpec.create().name("flaxfield").version("flaxfield $VERSION")
    root.usageMessage().description("A cluster scheduler that places gangs all-or-nothing and arrays by parts.")
    root.addHelp()
    root.addSubcommand("serve", serve)
    val warmUp = CommandSpec.create().name(WARM_UP)
    warmUp.usageMessage().hidden(true).description("Loads what serve needs and ends; the build makes the class-data archive with it.")
    root.addSubcommand(WARM_UP, warmUp)
    serve.version("flaxfield $VERSION")
    return CommandLine(root)
}

/** picocli's own mixin for these is read from annotations, which took a quarter of a start's processor time. */
private fun CommandSpec.addHelp() {
    addOption(OptionSpec.builder("-h", "--help").usageHelp(true).description("Show this help message and exit.").build())
    addOption(OptionSpec.builder("-V", "--version").versionHelp(true).description("Print version information and exit.").build())
}

fun main(args: Array<String>) {
    setUpLogs(System.getenv("LOG_LEVEL"))
    val line = commandLine()
    val parsed = try {
        line.parseArgs(*args)
    } catch (e: ParameterException) {
        fail(e.message ?: "bad arguments")
    }
    CommandLine.executeHelpRequest(parsed)?.let { exitProcess(0) }
    val serve = parsed.subcommand() ?: fail("no command given; see --help")
    if (serve.commandSpec().name() == WARM_UP) warmUp()
    try {
        val settings = Settings.load(serve.matchedOptionValue("--config", ""))
        val properties: String? = serve.matchedOptionValue("--properties", null)
        val operator = if (properties == null) OperatorSettings() else OperatorSettings.load(properties)
        Node(settings, operator, incarnation()).serve()
    } catch (e: MalformedException) {
        fail(e.message ?: "bad settings")
    } catch (e: Throwable) {
        // The owner thread is gone: a process that only answers from the network would be worse than none.
        System.err.println("flaxfield: ended by $e")
        Runtime.getRuntime().halt(EXIT_FAULT)
    }
}

/** Runs a controller that reaches nobody for a moment: the classes it loads are those that every start needs. */
private fun warmUp(): Nothing {
    val nowhere = Address("127.0.0.1", 1)
    val times = WorkerTimes(1.0, 2.0, 1.0, 1.0, 1.0)
    val limits = StateLimits(1000.0, 1000.0, 16.0, 24)
    val here = Address("127.0.0.1", 0)
    val settings = Settings(
        "warm-up", "a", here, here,
        listOf(
            Peer("nobody", nowhere),
        ),
        nowhere, nowhere, 1, emptyMap(), emptyList(), times, limits, 1.0, 1.0, 1,
    )
    Thread({ Node(settings, OperatorSettings(), incarnation()).serve() }, "warm-up").apply { isDaemon = true }.start()
    Thread.sleep(WARM_UP_MS)
    exitProcess(0)
}

/** A number no other run of any process has. */
private fun incarnation(): String = BigInteger(INCARNATION_BITS, SecureRandom()).toString(Character.MAX_RADIX)

private fun setUpLogs(level: String?) {
    val known = if (level in setOf("error", "info", "debug")) level else "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known.orEmpty())
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

private fun fail(message: String): Nothing {
    System.err.println("flaxfield: " + message.lineSequence().first())
    exitProcess(EXIT_USAGE)
}

private const val INCARNATION_BITS = 64
