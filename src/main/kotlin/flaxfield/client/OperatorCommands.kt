package flaxfield.client

import picocli.CommandLine
import picocli.CommandLine.Command

/**
 * The operators' command line. Each command asks a controller and prints its answer; docs/operating-drains.md says what
 * scripts may rely on.
 */
object OperatorCommands {
    /** Runs the command that [args] name, and returns the exit code of the process. */
    fun run(args: Array<String>): Int {
        val commandLine = CommandLine(RootCommand())
        commandLine.isCaseInsensitiveEnumValuesAllowed = true
        commandLine.setParameterExceptionHandler { e, _ -> fail(ClientFault(ExitCode.USAGE, e.message.orEmpty())) }
        commandLine.setExecutionExceptionHandler { e, _, _ ->
            fail(e as? ClientFault ?: ClientFault(ExitCode.INTERNAL, e.toString()))
        }
        return commandLine.execute(*args)
    }

    private fun fail(fault: ClientFault): Int {
        System.err.println("flaxfield: " + fault.message.orEmpty().lineSequence().first())
        return fault.code.number
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
