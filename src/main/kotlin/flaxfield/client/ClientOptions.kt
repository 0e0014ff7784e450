package flaxfield.client

import flaxfield.operator.v1.ReadRequest
import flaxfield.operator.v1.ShowRequest
import picocli.CommandLine.Option

/** The options of all commands that send a request to a controller. */
internal class ClientOptions {
    @Option(
        names = ["--endpoint"],
        paramLabel = "HOST:PORT",
        description = [
            "the operator address of a controller; if given several times, the next one is tried when " +
                "one does not answer",
        ],
    )
    var endpoints: List<String> = listOf("127.0.0.1:9443")

    @Option(names = ["--output"], paramLabel = "FORM", description = ["the output format: table (default) or json"])
    var output: OutputFormat = OutputFormat.TABLE

    @Option(
        names = ["--timeout"],
        paramLabel = "SECONDS",
        description = ["the time limit of the whole command (default 5)"],
    )
    var timeoutS: Double = 5.0

    @Option(
        names = ["--at-least"],
        paramLabel = "REVISION",
        description = ["accept answers only from controllers that have reached this revision"],
    )
    var minRevision: Long = 0

    /** Creates a client with these options; throws [ClientException] if they are invalid. */
    fun createClient(): OperatorClient {
        if (!(timeoutS > 0.0)) throw ClientException(ExitCode.USAGE, "--timeout must be above 0")
        return OperatorClient(endpoints, timeoutS)
    }

    /** Creates the request for a list. */
    fun readRequest(): ReadRequest = ReadRequest.newBuilder().setAtLeast(minRevision).build()

    /** Creates the request for the item called [name]. */
    fun showRequest(name: String): ShowRequest = ShowRequest.newBuilder().setName(name).setAtLeast(minRevision).build()
}
