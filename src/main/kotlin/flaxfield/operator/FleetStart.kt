package flaxfield.operator

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerProcess
import flaxfield.drain.FleetControl
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.IOException
import java.util.concurrent.atomic.AtomicReference
import kotlin.system.exitProcess

/**
 * Starts a controller with a fleet file: the operators' service, reloads and the clean stop. Loaded only with such a
 * file.
 */
class FleetStart(private val settings: Settings, private val path: String) {
    /**
     * Runs the controller until the process ends. A faulty file ends it at once: every fault is named, each on a line.
     */
    fun serve(operator: OperatorSettings, incarnation: String): Nothing {
        val file = try {
            FleetFiles.load(path, settings)
        } catch (e: FleetFileException) {
            for (fault in e.faults) System.err.println("flaxfield: $fault")
            exitProcess(EXIT_USAGE)
        }
        serve(file, operator, incarnation)
    }

    private fun serve(file: FleetFile, operator: OperatorSettings, incarnation: String): Nothing {
        val made = AtomicReference<FleetControl>()
        val finished = AtomicReference<FinishedJobReader>()
        val node = ControllerProcess(settings, operator, incarnation) { parts ->
            finished.set(FinishedJobReader(parts.context))
            FleetControl(parts, file.config).also(made::set)
        }
        val service = OperatorService(made.get(), settings, node::post, finished.get())
        val server = OperatorServer(file.listen, service)
        try {
            server.start()
        } catch (e: IOException) {
            throw MalformedException(
                "fleet file $path: can't listen on ${file.listen}: ${e.cause?.message ?: e.message}",
            )
        }
        log.info("node={} serves operators on {}", settings.nodeName, file.listen)
        Signal.handle(Signal("HUP")) { reload(file, made.get()) }
        Runtime.getRuntime().addShutdownHook(Thread({ stop(node, service, server) }, "stop"))
        node.serve()
    }

    /** Reads the file again. A faulty one is refused as a whole, and the old one stays in force. */
    private fun reload(first: FleetFile, control: FleetControl) {
        try {
            val file = FleetFiles.load(path, settings)
            if (file.listen != first.listen) log.warn("{}: listen stays {} until the next start", path, first.listen)
            control.reload(file.config)
            log.info("{} read again", path)
        } catch (e: FleetFileException) {
            for (fault in e.faults) log.error("refused, the old file stays: {}", fault)
        }
    }

    private fun stop(node: ControllerProcess, service: OperatorService, server: OperatorServer) {
        log.info("node={} stops: takes no new requests", settings.nodeName)
        service.stop()
        node.stop(STOP_MS)
        server.stop(OPERATORS_STOP_MS)
        log.info("node={} stopped", settings.nodeName)
    }

    private companion object {
        const val EXIT_USAGE = 2
        val log = LoggerFactory.getLogger("flaxfield.operator")

        /** Half of what a worker waits for an answer; the part is given away well before. */
        const val STOP_MS = 2_000L
        const val OPERATORS_STOP_MS = 500L
    }
}
