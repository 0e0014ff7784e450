package flaxfield.settings

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import java.io.File
import java.io.IOException

/** Host and port of one endpoint. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; throws [MalformedException] if it is not one. */
        fun parse(text: String): Address {
            val at = text.lastIndexOf(':')
            val port = if (at > 0) text.substring(at + 1).toIntOrNull() else null
            if (port == null || port !in 1..MAX_PORT) throw MalformedException("'$text' is not host:port")
            return Address(text.substring(0, at), port)
        }
    }
}

data class Peer(val name: String, val address: Address)

/** A team's guarantee and limit; 0 means none. */
data class Team(val name: String, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    val limited: Boolean get() = cpusMax > 0.0 || gpusMax > 0.0
}

/** One aim at start or finish, as the operators state it. */
data class Objective(val kind: String, val jobClass: String, val withinS: Double, val share: Double)

/** Figures of the workers' protocol. */
data class WorkerTimes(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val gangWaitS: Double,
    val gangPeerS: Double,
    val cancelS: Double,
)

/** Limits of the state service. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueKb: Double, val txnOps: Int)

/** The platform's settings file, parsed and checked. */
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
    /** How many zones the deployment's machines are in. */
    val zones: Int = 1,
) {
    companion object {
        /** Reads the file at [path]; every fault becomes a one-line [MalformedException]. */
        fun load(path: String): Settings {
            val bytes = try {
                File(path).readBytes()
            } catch (e: IOException) {
                throw MalformedException("settings file $path: ${e.message}")
            }
            try {
                return of(Cbor.decodeJson(bytes))
            } catch (e: MalformedException) {
                throw MalformedException("settings file $path: ${e.message}")
            }
        }

        /** Parses an already decoded settings map; unknown fields are ignored. */
        fun of(o: FieldMap): Settings {
            val external = o.requireMap("external")
            val d = o.requireMap("deployment")
            val workers = d.requireMap("workers")
            val state = d.requireMap("state")
            val cloud = d.requireMap("cloud")
            atLeast(d.obj("quota"), "cpu_share", MIN_SHARE)
            atLeast(d.obj("quota"), "mem_mb", MIN_MB)
            return Settings(
                nodeName = o.requireText("node_name"),
                zone = o.text("zone").orEmpty(),
                serveOn = Address.parse(o.requireText("serve_on")),
                internalAddr = Address.parse(o.requireText("internal_addr")),
                peers = o.mapList("others").map {
                    Peer(it.requireText("node_name"), Address.parse(it.requireText("peer_addr")))
                },
                cloud = Address.parse(external.requireText("cloud")),
                state = Address.parse(external.requireText("state")),
                size = d.int("size") ?: (o.mapList("others").size + 1),
                teams = d.mapList("teams").map(::team).associateBy { it.name },
                objectives = d.mapList("objectives").map(::objective),
                workers = WorkerTimes(
                    positive(workers, "report_s"),
                    positive(workers, "lease_s"),
                    positive(workers, "gang_wait_s"),
                    positive(workers, "gang_peer_s"),
                    positive(workers, "cancel_s"),
                ),
                stateLimits = StateLimits(
                    positive(state, "rps"),
                    positive(state, "write_rps"),
                    positive(state, "value_kb"),
                    positive(state, "txn_ops").toInt(),
                ),
                cloudRps = positive(cloud, "rps"),
                listLagS = positive(cloud, "list_lag_s"),
                maxSockets = sockets(d.obj("quota")),
                zones = d.textList("zones")?.toSet()?.size?.coerceAtLeast(1) ?: 1,
            )
        }

        private fun team(o: FieldMap) = Team(
            o.requireText("name"),
            o.number("cpus") ?: 0.0,
            o.number("cpus_max") ?: 0.0,
            o.number("gpus") ?: 0.0,
            o.number("gpus_max") ?: 0.0,
        )

        private fun objective(o: FieldMap) = Objective(
            o.text("kind").orEmpty(),
            o.text("class").orEmpty(),
            o.number("within_s") ?: 0.0,
            o.number("share") ?: 0.0,
        )

        /** A process needs some sockets for itself before it can serve anyone. */
        private fun sockets(quota: FieldMap?): Int {
            if (quota?.map?.get("fd_limit") == null) return DEFAULT_SOCKETS
            val n = quota.int("fd_limit") ?: throw MalformedException("fd_limit is invalid")
            if (n < MIN_SOCKETS) throw MalformedException("fd_limit must be at least $MIN_SOCKETS")
            return n
        }

        /**
         * A part of the machine, if the file tells it: with less than [least] a process would only be killed, or never
         * be ready.
         */
        private fun atLeast(quota: FieldMap?, key: String, least: Double) {
            if (quota?.map?.get(key) == null) return
            if (!(quota.requireNumber(key) >= least)) throw MalformedException("$key must be at least $least")
        }

        private fun positive(o: FieldMap, key: String): Double {
            val v = o.requireNumber(key)
            if (!(v > 0.0)) throw MalformedException("$key must be above 0")
            return v
        }

        /** A start takes some 0.7 s of a core: longer than a minute at less than this. */
        private const val MIN_SHARE = 0.01

        /** What a process without machines takes, and the least of its heap. */
        private const val MIN_MB = 80.0
        private const val DEFAULT_SOCKETS = 1024

        /** Listeners, the state service, the cloud, the peers, the process's own files, and a few that come in. */
        private const val MIN_SOCKETS = 64
    }
}
