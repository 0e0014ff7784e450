package flaxfield.cli

import flaxfield.codec.MalformedException
import flaxfield.node.Node
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.ParameterException
import java.math.BigInteger
import java.security.SecureRandom
import kotlin.system.exitProcess

private const val VERSION = "0.1.0"
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
    serve.mixinStandardHelpOptions(true)
    val root = CommandSpec.create().name("flaxfield").version("flaxfield $VERSION")
    root.usageMessage().description("A cluster scheduler that places gangs all-or-nothing and arrays by parts.")
    root.mixinStandardHelpOptions(true)
    root.addSubcommand("serve", serve)
    serve.version("flaxfield $VERSION")
    return CommandLine(root)
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
