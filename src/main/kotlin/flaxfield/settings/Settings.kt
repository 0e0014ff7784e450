package flaxfield.settings

import flaxfield.codec.FieldMap
import flaxfield.codec.Json
import flaxfield.codec.MalformedException
import java.io.File
import java.io.IOException

/** Another controller of the deployment. */
data class Peer(val name: String, val address: Address)

/** A team's guaranteed capacity and its limit; 0 means none. */
data class Team(val name: String, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    /** Whether the team has a limit. */
    val hasLimit: Boolean get() = cpusMax > 0.0 || gpusMax > 0.0
}

/** A service-level objective: [share] of the jobs of [jobClass] start or finish within [withinS]. */
data class Objective(val kind: String, val jobClass: String, val withinS: Double, val share: Double)

/**
 * Intervals and timeouts of the workers' protocol, in seconds.
 *
 * @property heartbeatIntervalS the interval between two heartbeats of a worker
 * @property leaseS how long a worker may run tasks after it has sent a heartbeat that renews its lease
 * @property cancelS how long a task may keep running after the cancellation of its job was confirmed
 */
data class WorkerTimes(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val gangWaitS: Double,
    val gangPeerS: Double,
    val cancelS: Double,
)

/** Limits of the state service: requests and writes per second, KiB per value, and operations per transaction. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueKb: Double, val txnOps: Int) {
    /** PROTOCOL-flaxfield.md: a transaction may have four times as many conditions as changes. */
    val maxConditions: Int get() = txnOps * CONDITIONS_PER_CHANGE

    private companion object {
        const val CONDITIONS_PER_CHANGE = 4
    }
}

/**
 * The platform's settings file, parsed and validated.
 *
 * @property size the number of controllers
 * @property cloudRps the rate limit of the cloud, in requests per second
 * @property listLagS how far the cloud's list of machines may lag, in seconds
 */
data class Settings(
    val nodeName: String,
    val zone: String,
    val serveOn: Address,
    val internalAddr: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val size: Int,
    val teams: Map<String, Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxSockets: Int,
    /** The number of zones that the deployment's machines are in. */
    val zones: Int = 1,
) {
    companion object {
        /** Reads the file at [path]; throws [MalformedException] with a one-line message if it is invalid. */
        fun load(path: String): Settings {
            val bytes = try {
                File(path).readBytes()
            } catch (e: IOException) {
                throw MalformedException("settings file $path: ${e.message}", e)
            }
            try {
                return of(Json.decode(bytes))
            } catch (e: MalformedException) {
                throw MalformedException("settings file $path: ${e.message}", e)
            }
        }

        /** Returns the settings in an already decoded file; unknown fields are ignored. */
        fun of(file: FieldMap): Settings = SettingsParser.parse(file)
    }
}
