package flaxfield.sim

/**
 * Injects named faults, between 20 and 110 s of a simulation. A test row combines several names with `+`. The faults
 * are planned in the order of [faults], regardless of their order in the row, so that equal seeds give equal runs.
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
        "kill" to controllers::killPeriodically,
        "all" to controllers::killAll,
        "behind" to controllers::starveProcessors,
        "outage" to { connections.storeOutage(35.0, 14.0) },
        "cut" to connections::cutSomeLinks,
        "lost" to connections::loseStoreResponses,
        "hang" to workers::hangSomeWorkers,
        "taken" to workers::terminateSomeWorkers,
        "deaf" to workers::blockInbound,
        "copies" to connections::duplicateHeartbeats,
        "lone" to connections::isolateEachController,
        "blink" to controllers::restartRepeatedly,
        "zone" to connections::partitionZones,
        "freeze" to controllers::freezeSomeControllers,
        "peer-partition" to connections::disconnectPeers,
        "boot-faults" to workers::failAndDelayBoots,
        "read-storm" to load::multiplyReads,
        "failing-jobs" to load::submitFailingJobs,
        "sick" to workers::failTasksOnOneMachine,
        "cancellation-before-outage" to cancellations::aroundStoreOutage,
        "longoutage" to { connections.storeOutage(45.0, cluster.cancelS * 1.3) },
        "lonelead" to connections::isolateLeader,
        "cancels" to cancellations::cancelPeriodically,
        "cancelhang" to cancellations::whileWorkersHang,
        "cancellation-during-worker-partition" to cancellations::whileWorkersArePartitioned,
        "cancellation-at-completion" to cancellations::asJobsComplete,
        "handover" to controllers::killLeaders,
        "tenleaders" to controllers::killTenLeaders,
        "away" to controllers::killAllBeyondLease,
        "fornext" to connections::duplicateHeartbeatsForNextLeader,
        "silent" to connections::loseTransactionResponses,
        "latewrites" to connections::delayTransactions,
        "slow" to connections::slowStore,
        "read-after-write" to { cluster.immediateReads = true },
        "mute" to { workers.blockTemporarily(33.0, 66.0) { worker, on -> worker.outboundBlocked = on } },
        "deafspell" to { workers.blockTemporarily(36.0, 70.0) { worker, on -> worker.inboundBlocked = on } },
        "failovers-during-boot" to {
            workers.bootFast()
            controllers.killLeadersDuringBoot()
        },
        "small-job-burst" to load::submitManySmallJobs,
        "invalid-requests" to load::sendInvalidRequests,
    )

    /** Plans the faults of [row], which holds their names joined by `+`. */
    fun inject(row: String) {
        val names = row.split('+').toSet()
        val unknown = names - faults.keys
        require(unknown.isEmpty()) { "unknown faults: $unknown" }
        for ((name, start) in faults) if (name in names) start()
    }
}
