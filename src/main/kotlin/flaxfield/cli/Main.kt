package flaxfield.cli

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerProcess
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.ParameterException
import picocli.CommandLine.ParseResult
import java.util.concurrent.ThreadLocalRandom
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_FAULT = 3

/** The first words of the operators' commands, which are in a jar of their own. */
private val OPERATOR_COMMANDS = setOf("drain", "budget", "machines", "explain", "zone")

/** The values of `LOG_LEVEL`; any other counts as `info`. */
private val LOG_LEVELS = setOf("error", "info", "debug")

/** Runs an operator's command or the service. */
fun main(args: Array<String>) {
    // Looked at first, so that a start of the service loads nothing of them.
    if (args.firstOrNull() in OPERATOR_COMMANDS) exitProcess(OperatorJar.entry().command(args))
    configureLogs(System.getenv("LOG_LEVEL"))
    val parsed = try {
        commandLine().parseArgs(*args)
    } catch (e: ParameterException) {
        fail(e.message ?: "bad arguments")
    }
    CommandLine.executeHelpRequest(parsed)?.let { exitProcess(0) }
    val serve = parsed.subcommand() ?: fail("no command given; see --help")
    try {
        serve(serve)
    } catch (e: MalformedException) {
        fail(e.message ?: "bad settings")
    } catch (fault: Throwable) {
        // The owner thread has ended: a process that only answers from the network would be worse than none.
        System.err.println("flaxfield: ended by $fault")
        Runtime.getRuntime().halt(EXIT_FAULT)
    }
}

/** Runs one controller with the files that [options] name, until the process ends. */
private fun serve(options: ParseResult): Nothing {
    val settings = Settings.load(options.matchedOptionValue("--config", ""))
    val properties: String? = options.matchedOptionValue("--properties", null)
    val operator = if (properties == null) OperatorSettings() else OperatorSettings.load(properties)
    ClassDataArchive.warning(System.getProperty("java.vm.info"))?.let {
        LoggerFactory.getLogger("flaxfield.cli").warn("event=class_data_archive_unused reason=\"{}\"", it)
    }
    val fleet: String? = options.matchedOptionValue("--fleet", null)
    if (fleet != null) OperatorJar.entry().serve(settings, operator, incarnation(), fleet)
    ControllerProcess(settings, operator, incarnation()).serve()
}

/**
 * A text that no other incarnation of this controller has: the time of its start and a random number. Compared within
 * the controller's name only. Not a secret, so not from a secure generator, which takes 15 ms of a core to load.
 */
private fun incarnation(): String = System.currentTimeMillis().toString(Character.MAX_RADIX) +
    ThreadLocalRandom.current().nextInt(Int.MAX_VALUE).toString(Character.MAX_RADIX)

private fun configureLogs(level: String?) {
    val known = if (level != null && level in LOG_LEVELS) level else "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

/** Ends the process with the first line of [message]. */
private fun fail(message: String): Nothing {
    System.err.println("flaxfield: " + message.lineSequence().first())
    exitProcess(EXIT_USAGE)
}
