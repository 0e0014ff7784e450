package flaxfield.sim

/**
 * Injects faults by name, between 20 and 110 s of a simulation; a row of a test combines them as `kill+lost`. The
 * faults begin in the order of [faults], whatever the order of a row, so that equal seeds give equal runs.
 */
class FaultInjector(cluster: SimCluster, users: List<SimUser> = emptyList()) {
    private val schedule = FaultSchedule(cluster.loop)
    private val controllers = ControllerFaults(cluster, schedule)
    private val connections = ConnectionFaults(cluster, schedule)
    private val workers = WorkerFaults(cluster, schedule)
    private val load = UserLoad(cluster, schedule, users)
    private val cancellations = CancellationFaults(cluster, schedule, users)

    private val faults: Map<String, () -> Unit> = linkedMapOf(
        "quiet" to {},
        "kill" to controllers::killOften,
        "all" to controllers::killAll,
        "behind" to controllers::slowDown,
        "outage" to { connections.storeOutage(35.0, 14.0) },
        "cut" to connections::cutSome,
        "lost" to connections::loseStoreAnswers,
        "hang" to workers::hangSome,
        "taken" to workers::terminateSome,
        "deaf" to workers::blockInbound,
        "copies" to connections::duplicateHeartbeats,
        "lone" to connections::isolateEachController,
        "blink" to controllers::restartOften,
        "zone" to connections::cutZones,
        "freeze" to controllers::freezeSome,
        "refuse" to connections::refusePeers,
        "boots" to workers::varyBoots,
        "storm" to load::multiplyReads,
        "mistakes" to load::submitFailingJobs,
        "sick" to workers::failTasksOfOne,
        "gap" to cancellations::duringStoreGap,
        "longoutage" to { connections.storeOutage(45.0, cluster.cancelS * 1.3) },
        "lonelead" to connections::isolateLeader,
        "cancels" to cancellations::often,
        "cancelhang" to cancellations::whileWorkersHang,
        "cancelcut" to cancellations::whileWorkersAreCut,
        "atend" to cancellations::asJobsComplete,
        "handover" to controllers::killLeaders,
        "tenleaders" to controllers::killTenLeaders,
        "away" to controllers::killAllForLong,
        "fornext" to connections::duplicateHeartbeatsForNextLeader,
        "silent" to connections::loseTransactionAnswers,
        "latewrites" to connections::delayTransactions,
        "slow" to connections::slowStore,
        "looks" to { cluster.immediateReads = true },
        "mute" to { workers.blockSpells(33.0, 66.0) { worker, on -> worker.outboundBlocked = on } },
        "deafspell" to { workers.blockSpells(36.0, 70.0) { worker, on -> worker.inboundBlocked = on } },
        "quick" to {
            workers.bootAtOnce()
            controllers.killLeadersEarly()
        },
        "swarm" to load::submitManySmallJobs,
        "odd" to load::sendInvalidRequests,
    )

    /** Plans the faults that [row] names, joined by `+`. */
    fun inject(row: String) {
        val names = row.split('+').toSet()
        val unknown = names - faults.keys
        require(unknown.isEmpty()) { "no such fault: $unknown" }
        for ((name, start) in faults) if (name in names) start()
    }
}
