package flaxfield.cli

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerProcess
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.ParameterException
import java.util.concurrent.ThreadLocalRandom
import kotlin.system.exitProcess

private const val VERSION = "0.1.0"
private const val EXIT_USAGE = 2
private const val EXIT_FAULT = 3

/** The first words of the clients' commands. */
private val OPERATOR_COMMANDS = setOf("drain", "budget", "machines", "explain", "zone")

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
    serve.addOption(
        OptionSpec.builder("--fleet").paramLabel("FILE").type(String::class.java)
            .description("the operators' fleet file: budgets, repeat policies and where operators are served").build(),
    )
    serve.addHelp()
    val root = CommandSpec.create().name("flaxfield").version("flaxfield $VERSION")
    root.usageMessage().description("A cluster scheduler that places gangs all-or-nothing and arrays by parts.")
    root.usageMessage().footer("Operators' commands, each with its own --help: drain, budget, machines, explain, zone.")
    root.addHelp()
    root.addSubcommand("serve", serve)
    serve.version("flaxfield $VERSION")
    return CommandLine(root)
}

/** picocli's own mixin for these is read from annotations, which took a quarter of a start's processor time. */
private fun CommandSpec.addHelp() {
    addOption(
        OptionSpec.builder("-h", "--help").usageHelp(true).description("Show this help message and exit.").build(),
    )
    addOption(
        OptionSpec.builder(
            "-V",
            "--version",
        ).versionHelp(true).description("Print version information and exit.").build(),
    )
}

fun main(args: Array<String>) {
    // The clients' commands are not even looked at by a start of the service.
    if (args.firstOrNull() in OPERATOR_COMMANDS) exitProcess(OperatorJar.entry().command(args))
    setUpLogs(System.getenv("LOG_LEVEL"))
    val line = commandLine()
    val parsed = try {
        line.parseArgs(*args)
    } catch (e: ParameterException) {
        fail(e.message ?: "bad arguments")
    }
    CommandLine.executeHelpRequest(parsed)?.let { exitProcess(0) }
    val serve = parsed.subcommand() ?: fail("no command given; see --help")
    try {
        val settings = Settings.load(serve.matchedOptionValue("--config", ""))
        val properties: String? = serve.matchedOptionValue("--properties", null)
        val operator = if (properties == null) OperatorSettings() else OperatorSettings.load(properties)
        ClassDataArchive.warning(System.getProperty("java.vm.info"))?.let {
            LoggerFactory.getLogger("flaxfield.cli").warn(it)
        }
        val fleet: String? = serve.matchedOptionValue("--fleet", null)
        if (fleet != null) OperatorJar.entry().serve(settings, operator, incarnation(), fleet)
        ControllerProcess(settings, operator, incarnation()).serve()
    } catch (e: MalformedException) {
        fail(e.message ?: "bad settings")
    } catch (e: Throwable) {
        // The owner thread is gone: a process that only answers from the network would be worse than none.
        System.err.println("flaxfield: ended by $e")
        Runtime.getRuntime().halt(EXIT_FAULT)
    }
}

/**
 * A text no other run of this node has: when it started, and a random number. Membership compares it within one node's
 * name. Not a secret, so not a secure generator: loading one took a start 15 ms of a core.
 */
private fun incarnation(): String = System.currentTimeMillis().toString(Character.MAX_RADIX) +
    ThreadLocalRandom.current().nextInt(Int.MAX_VALUE).toString(Character.MAX_RADIX)

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
