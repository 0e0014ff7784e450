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
 * Runs a controller with a fleet file: the operators' service beside it, reloads on SIGHUP and a graceful stop. Loaded
 * only with such a file.
 */
class FleetLauncher(private val settings: Settings, private val path: String) {
    /**
     * Runs the controller until the process ends. An invalid file ends the process at once, with each fault on a line
     * of its own.
     */
    fun serve(operator: OperatorSettings, incarnation: String): Nothing {
        val file = try {
            FleetFileLoader.load(path, settings)
        } catch (e: FleetFileException) {
            for (fault in e.faults) System.err.println("flaxfield: $fault")
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
            throw MalformedException("fleet file $path: can't listen on ${file.listen}: $cause")
        }
        log.info("event=operator_server_started controller={} address={}", settings.nodeName, file.listen)
    }

    /** Reads the file again. An invalid one is refused as a whole, and the previous one stays in force. */
    private fun reload(first: FleetFile, control: FleetControl) {
        try {
            val file = FleetFileLoader.load(path, settings)
            if (file.listen != first.listen) {
                log.warn("event=fleet_listen_unchanged file={} address={} reason=needs_restart", path, first.listen)
            }
            control.reload(file.config)
            log.info("event=fleet_file_reloaded file={}", path)
        } catch (e: FleetFileException) {
            for (fault in e.faults) log.error("event=fleet_file_refused reason=\"{}\"", fault)
        }
    }

    /** Refuses new calls, lets the controller hand over its shard, and ends the calls under way. */
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

        /** Half of a worker's timeout for an answer; the shard is handed over well before. */
        const val CONTROLLER_STOP_MS = 2_000L
        const val SERVER_STOP_MS = 500L
    }
}

/** Creates the fleet control of one controller process, and keeps what the operators' service needs of it. */
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
