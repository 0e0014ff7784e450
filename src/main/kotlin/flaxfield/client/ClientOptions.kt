package flaxfield.client

import flaxfield.operator.v1.ReadRequest
import flaxfield.operator.v1.ShowRequest
import picocli.CommandLine.Option

/** The options of all commands that ask a controller. */
internal class ClientOptions {
    @Option(
        names = ["--endpoint"],
        paramLabel = "HOST:PORT",
        description = [
            "a controller's operator address; may be given several times: the next one is asked when " +
                "one does not answer",
        ],
    )
    var endpoints: List<String> = listOf("127.0.0.1:9443")

    @Option(names = ["--output"], paramLabel = "FORM", description = ["table (default) or json"])
    var output: OutputForm = OutputForm.TABLE

    @Option(
        names = ["--timeout"],
        paramLabel = "SECONDS",
        description = ["how long the command may take in all (default 5)"],
    )
    var timeoutS: Double = 5.0

    @Option(
        names = ["--at-least"],
        paramLabel = "REVISION",
        description = ["ask only nodes that have reached this revision"],
    )
    var atLeast: Long = 0

    /** A client with these options; throws [ClientFault] if they are invalid. */
    fun client(): OperatorClient {
        if (!(timeoutS > 0.0)) throw ClientFault(ExitCode.USAGE, "--timeout must be above 0")
        return OperatorClient(endpoints, timeoutS)
    }

    /** The request for a list. */
    fun read(): ReadRequest = ReadRequest.newBuilder().setAtLeast(atLeast).build()

    /** The request for the item called [name]. */
    fun show(name: String): ShowRequest = ShowRequest.newBuilder().setName(name).setAtLeast(atLeast).build()
}
