package flaxfield.client

import picocli.CommandLine
import picocli.CommandLine.Command

/**
 * The operators' command line. Each command sends a request to a controller and prints the response. The parts that
 * scripts may rely on are documented in docs/operating-drains.md.
 */
object OperatorCommands {
    /** Runs the command given by [args] and returns the exit code of the process. */
    fun run(args: Array<String>): Int {
        val commandLine = CommandLine(RootCommand())
        commandLine.isCaseInsensitiveEnumValuesAllowed = true
        commandLine.setParameterExceptionHandler { e, _ -> fail(ClientException(ExitCode.USAGE, e.message.orEmpty())) }
        commandLine.setExecutionExceptionHandler { e, _, _ ->
            fail(e as? ClientException ?: ClientException(ExitCode.INTERNAL, e.toString()))
        }
        return commandLine.execute(*args)
    }

    private fun fail(failure: ClientException): Int {
        System.err.println("flaxfield: " + failure.message.orEmpty().lineSequence().first())
        return failure.code.number
    }
}

@Command(
    name = "flaxfield",
    mixinStandardHelpOptions = true,
    subcommands = [
        DrainCommand::class,
        BudgetCommand::class,
        MachinesCommand::class,
        ExplainCommand::class,
        ZoneCommand::class,
    ],
)
private class RootCommand
