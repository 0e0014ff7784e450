package flaxfield.client

import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** A command that asks a controller and prints its answer; what it returns is the exit code of the process. */
internal abstract class ControllerCommand : Callable<Int> {
    @Mixin
    lateinit var options: ClientOptions

    final override fun call(): Int = options.client().use(::run).number

    /** Runs the command with [client], which the caller closes; throws [ClientFault] if it fails. */
    protected abstract fun run(client: OperatorClient): ExitCode
}
