package flaxfield.client

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** `explain`: tells what a job waits for. */
@Command(name = "explain", mixinStandardHelpOptions = true, subcommands = [ExplainJob::class])
internal class ExplainCommand

@Command(name = "job", description = ["Tells the condition that a job waits for."], mixinStandardHelpOptions = true)
private class ExplainJob : ControllerCommand() {
    @Parameters(paramLabel = "ID")
    lateinit var id: String

    override fun run(client: OperatorClient): ExitCode {
        Output.explanation(client.call { it.explainJob(options.show(id)) }, options.output)
        return ExitCode.OK
    }
}
