package flaxfield.operator

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerProcess
import flaxfield.controller.Subsystem
import flaxfield.controller.SubsystemFactory
import flaxfield.controller.SubsystemParts
import flaxfield.drain.FleetConfig
import flaxfield.drain.FleetControl
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.IOException
import kotlin.system.exitProcess

/**
 * Runs a controller that has a fleet file: adds the operators' service, reloads the file on SIGHUP and shuts down
 * gracefully. This class is loaded only if the controller has a fleet file.
 */
class FleetLauncher(private val settings: Settings, private val path: String) {
    /**
     * Runs the controller until the process is terminated. If the file is invalid, prints each error on a line and
     * exits.
     */
    fun serve(operator: OperatorSettings, incarnation: String): Nothing {
        val file = try {
            FleetFileLoader.load(path, settings)
        } catch (e: FleetFileException) {
            for (error in e.errors) System.err.println("flaxfield: $error")
            exitProcess(EXIT_USAGE)
        }
        serve(file, operator, incarnation)
    }

    private fun serve(file: FleetFile, operator: OperatorSettings, incarnation: String): Nothing {
        val factory = FleetControlFactory(file.config)
        val process = ControllerProcess(settings, operator, incarnation, factory)
        val service = OperatorService(factory.control, settings, process::post, factory.finishedJobs)
        val server = OperatorServer(file.listen, service)
        start(server, file)
        Signal.handle(Signal("HUP")) { reload(file, factory.control) }
        Runtime.getRuntime().addShutdownHook(Thread({ stop(process, service, server) }, "stop"))
        process.serve()
    }

    private fun start(server: OperatorServer, file: FleetFile) {
        try {
            server.start()
        } catch (e: IOException) {
            val cause = e.cause?.message ?: e.message
            throw MalformedException("fleet file $path: cannot listen on ${file.listen}: $cause")
        }
        log.info("event=operator_server_started controller={} address={}", settings.nodeName, file.listen)
    }

    /** Reloads the file. An invalid file is rejected as a whole, and the previous configuration stays in effect. */
    private fun reload(first: FleetFile, control: FleetControl) {
        try {
            val file = FleetFileLoader.load(path, settings)
            if (file.listen != first.listen) {
                log.warn("event=fleet_listen_unchanged file={} address={} reason=needs_restart", path, first.listen)
            }
            control.reload(file.config)
            log.info("event=fleet_file_reloaded file={}", path)
        } catch (e: FleetFileException) {
            for (error in e.errors) log.error("event=fleet_file_refused reason=\"{}\"", error)
        }
    }

    /** Refuses new calls, lets the controller hand over its shard, and then terminates the calls in progress. */
    private fun stop(process: ControllerProcess, service: OperatorService, server: OperatorServer) {
        log.info("event=stop_started controller={}", settings.nodeName)
        service.stop()
        process.stop(CONTROLLER_STOP_MS)
        server.stop(SERVER_STOP_MS)
        log.info("event=stop_finished controller={}", settings.nodeName)
    }

    private companion object {
        const val EXIT_USAGE = 2
        val log = LoggerFactory.getLogger("flaxfield.operator")

        /** Half of a worker's response timeout, and ample for handing over the shard. */
        const val CONTROLLER_STOP_MS = 2_000L
        const val SERVER_STOP_MS = 500L
    }
}

/** Creates the fleet control of a controller process, and exposes the parts that the operators' service needs. */
private class FleetControlFactory(private val config: FleetConfig) : SubsystemFactory {
    lateinit var control: FleetControl
        private set
    lateinit var finishedJobs: FinishedJobReader
        private set

    override fun create(parts: SubsystemParts): Subsystem {
        finishedJobs = FinishedJobReader(parts.context)
        control = FleetControl(parts, config)
        return control
    }
}
