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
private const val EXIT_INTERNAL_ERROR = 3

/** The names of the operators' commands, which are in a separate jar. */
private val OPERATOR_COMMANDS = setOf("drain", "budget", "machines", "explain", "zone")

/** The valid values of `LOG_LEVEL`; any other value means `info`. */
private val LOG_LEVELS = setOf("error", "info", "debug")

/** Runs an operator's command or the service. */
fun main(args: Array<String>) {
    // Checked first, so that starting the service loads no classes of the operators' commands.
    if (args.firstOrNull() in OPERATOR_COMMANDS) exitProcess(OperatorJar.loadEntryPoint().command(args))
    configureLogs(System.getenv("LOG_LEVEL"))
    val parsed = try {
        commandLine().parseArgs(*args)
    } catch (e: ParameterException) {
        fail(e.message ?: "invalid arguments")
    }
    CommandLine.executeHelpRequest(parsed)?.let { exitProcess(0) }
    val serve = parsed.subcommand() ?: fail("no command given; see --help")
    try {
        serve(serve)
    } catch (e: MalformedException) {
        fail(e.message ?: "invalid settings")
    } catch (fault: Throwable) {
        // The owner thread has terminated: the network threads would go on accepting requests that nothing executes.
        System.err.println("flaxfield: ended by $fault")
        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR)
    }
}

/** Runs a controller with the files given in [options] until the process is terminated. */
private fun serve(options: ParseResult): Nothing {
    val settings = Settings.load(options.matchedOptionValue("--config", ""))
    val properties: String? = options.matchedOptionValue("--properties", null)
    val operator = if (properties == null) OperatorSettings() else OperatorSettings.load(properties)
    ClassDataArchive.warning(System.getProperty("java.vm.info"))?.let {
        LoggerFactory.getLogger("flaxfield.cli").warn("event=class_data_archive_unused reason=\"{}\"", it)
    }
    val fleet: String? = options.matchedOptionValue("--fleet", null)
    if (fleet != null) OperatorJar.loadEntryPoint().serve(settings, operator, newIncarnation(), fleet)
    ControllerProcess(settings, operator, newIncarnation()).serve()
}

/**
 * Returns an identifier that is unique among the incarnations of this controller: its start time and a random number.
 * It is not a secret, so a secure random generator, which takes 15 ms of CPU time to load, is not needed.
 */
private fun newIncarnation(): String = System.currentTimeMillis().toString(Character.MAX_RADIX) +
    ThreadLocalRandom.current().nextInt(Int.MAX_VALUE).toString(Character.MAX_RADIX)

private fun configureLogs(level: String?) {
    val effectiveLevel = if (level != null && level in LOG_LEVELS) level else "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", effectiveLevel)
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

/** Terminates the process after printing the first line of [message]. */
private fun fail(message: String): Nothing {
    System.err.println("flaxfield: " + message.lineSequence().first())
    exitProcess(EXIT_USAGE)
}
