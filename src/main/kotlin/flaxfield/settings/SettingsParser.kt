package flaxfield.settings

import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException

/** Parses the platform's settings file; throws [MalformedException] for the first field that is missing or invalid. */
internal object SettingsParser {
    /** Startup takes about 0.7 s of CPU time: with a smaller share of a core it would take longer than a minute. */
    private const val MIN_CPU_SHARE = 0.01

    /** The memory that a process without machines needs, with the smallest heap. */
    private const val MIN_MEMORY_MB = 80.0
    private const val DEFAULT_MAX_SOCKETS = 1024

    /** Enough for listeners, the state service, the cloud, peers, open files, and a few incoming connections. */
    private const val MIN_SOCKETS = 64

    fun parse(file: FieldMap): Settings {
        val external = file.requireMap("external")
        val deployment = file.requireMap("deployment")
        val workers = deployment.requireMap("workers")
        val state = deployment.requireMap("state")
        val cloud = deployment.requireMap("cloud")
        val quota = deployment.nestedMap("quota")
        requireAtLeast(quota, "cpu_share", MIN_CPU_SHARE)
        requireAtLeast(quota, "mem_mb", MIN_MEMORY_MB)
        return Settings(
            nodeName = file.requireText("node_name"),
            zone = file.text("zone").orEmpty(),
            serveOn = Address.parse(file.requireText("serve_on")),
            internalAddr = Address.parse(file.requireText("internal_addr")),
            peers = file.mapList("others").map(::peer),
            cloud = Address.parse(external.requireText("cloud")),
            state = Address.parse(external.requireText("state")),
            size = deployment.int("size") ?: (file.mapList("others").size + 1),
            teams = deployment.mapList("teams").map(::team).associateBy { it.name },
            objectives = deployment.mapList("objectives").map(::objective),
            workers = workerTimes(workers),
            stateLimits = stateLimits(state),
            cloudRps = positive(cloud, "rps"),
            listLagS = positive(cloud, "list_lag_s"),
            maxSockets = maxSockets(quota),
            zones = deployment.textList("zones")?.toSet()?.size?.coerceAtLeast(1) ?: 1,
        )
    }

    private fun peer(fields: FieldMap) =
        Peer(fields.requireText("node_name"), Address.parse(fields.requireText("peer_addr")))

    private fun team(fields: FieldMap) = Team(
        name = fields.requireText("name"),
        cpus = fields.number("cpus") ?: 0.0,
        cpusMax = fields.number("cpus_max") ?: 0.0,
        gpus = fields.number("gpus") ?: 0.0,
        gpusMax = fields.number("gpus_max") ?: 0.0,
    )

    private fun objective(fields: FieldMap) = Objective(
        kind = fields.text("kind").orEmpty(),
        jobClass = fields.text("class").orEmpty(),
        withinS = fields.number("within_s") ?: 0.0,
        share = fields.number("share") ?: 0.0,
    )

    private fun workerTimes(fields: FieldMap) = WorkerTimes(
        heartbeatIntervalS = positive(fields, "report_s"),
        leaseS = positive(fields, "lease_s"),
        gangWaitS = positive(fields, "gang_wait_s"),
        gangPeerS = positive(fields, "gang_peer_s"),
        cancelS = positive(fields, "cancel_s"),
    )

    private fun stateLimits(fields: FieldMap) = StateLimits(
        rps = positive(fields, "rps"),
        writeRps = positive(fields, "write_rps"),
        valueKb = positive(fields, "value_kb"),
        txnOps = positive(fields, "txn_ops").toInt(),
    )

    /** Returns the process's socket limit, which must leave some for incoming connections. */
    private fun maxSockets(quota: FieldMap?): Int {
        if (quota?.map?.get("fd_limit") == null) return DEFAULT_MAX_SOCKETS
        val sockets = quota.int("fd_limit") ?: throw MalformedException("fd_limit is invalid")
        if (sockets < MIN_SOCKETS) throw MalformedException("fd_limit must be at least $MIN_SOCKETS")
        return sockets
    }

    /** Checks a resource limit if the file sets it: with less, the process would be killed or never become ready. */
    private fun requireAtLeast(quota: FieldMap?, key: String, minimum: Double) {
        if (quota?.map?.get(key) == null) return
        // The negated comparison also rejects NaN.
        if (!(quota.requireNumber(key) >= minimum)) throw MalformedException("$key must be at least $minimum")
    }

    private fun positive(fields: FieldMap, key: String): Double {
        val value = fields.requireNumber(key)
        if (!(value > 0.0)) throw MalformedException("$key must be above 0")
        return value
    }
}
