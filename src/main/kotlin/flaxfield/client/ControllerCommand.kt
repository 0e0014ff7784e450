package flaxfield.client

import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** A command that sends a request to a controller and prints the response; returns the exit code of the process. */
internal abstract class ControllerCommand : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    final override fun call(): Int = options.createClient().use(::run).number

    /** Runs the command with [client], which the caller closes; throws [ClientException] if it fails. */
    protected abstract fun run(client: OperatorClient): ExitCode
}
