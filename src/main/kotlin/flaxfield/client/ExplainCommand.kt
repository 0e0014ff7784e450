package flaxfield.client

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Explains the state of a job and what it waits for. */
@Command(name = "explain", mixinStandardHelpOptions = true, subcommands = [ExplainJob::class])
internal class ExplainCommand

@Command(
    name = "job",
    description = ["Explains the state of a job and what it waits for."],
    mixinStandardHelpOptions = true,
)
private class ExplainJob : ControllerCommand() {
    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun run(client: OperatorClient): ExitCode {
        Output.explanation(client.call { it.explainJob(options.showRequest(id)) }, options.output)
        return ExitCode.OK
    }
}
