package flaxfield.sim

/**
 * Injects named faults, most of them between 20 and 110 s of a simulation. A test row combines several names with `+`.
 * The faults are scheduled in the order of [faults], regardless of their order in the row, so that equal seeds give
 * equal runs.
 */
class FaultInjector(cluster: SimCluster, users: List<SimUser> = emptyList()) {
    private val schedule = FaultSchedule(cluster.loop)
    private val controllers = ControllerFaults(cluster, schedule)
    private val connections = ConnectionFaults(cluster, schedule)
    private val workers = WorkerFaults(cluster, schedule)
    private val load = UserLoad(cluster, schedule, users)
    private val cancellations = CancellationFaults(cluster, schedule, users)

    private val faults: Map<String, () -> Unit> = linkedMapOf(
        "no-faults" to {},
        "controller-crashes" to controllers::killPeriodically,
        "full-controller-restart" to controllers::killAll,
        "cpu-starvation" to controllers::starveProcessors,
        "store-outage" to { connections.storeOutage(35.0, 14.0) },
        "link-partitions" to connections::cutSomeLinks,
        "lost-store-responses" to connections::loseStoreResponses,
        "worker-hangs" to workers::hangSomeWorkers,
        "machine-losses" to workers::terminateSomeWorkers,
        "inbound-partition" to workers::blockInbound,
        "delayed-duplicates" to connections::duplicateHeartbeats,
        "controller-isolation" to connections::isolateEachController,
        "restart-storm" to controllers::restartRepeatedly,
        "zone-partition" to connections::partitionZones,
        "controller-pauses" to controllers::freezeSomeControllers,
        "peer-partition" to connections::disconnectPeers,
        "boot-faults" to workers::failAndDelayBoots,
        "read-storm" to load::multiplyReads,
        "failing-jobs" to load::submitFailingJobs,
        "failing-machine" to workers::failTasksOnOneMachine,
        "brief-machine-failures" to workers::failTasksBriefly,
        "exhausted-zone" to workers::exhaustZone,
        "cancellation-before-outage" to cancellations::aroundStoreOutage,
        "long-store-outage" to { connections.storeOutage(45.0, cluster.cancelS * 1.3) },
        "leader-isolation" to connections::isolateLeader,
        "repeated-cancellations" to cancellations::cancelPeriodically,
        "cancellation-during-worker-hangs" to cancellations::whileWorkersHang,
        "cancellation-during-worker-partition" to cancellations::whileWorkersArePartitioned,
        "cancellation-at-completion" to cancellations::asJobsComplete,
        "leader-failovers" to controllers::killLeaders,
        "ten-leader-failovers" to controllers::killTenLeaders,
        "long-controller-outage" to controllers::killAllBeyondLease,
        "duplicates-at-failover" to connections::duplicateHeartbeatsForNextLeader,
        "lost-transaction-responses" to connections::loseTransactionResponses,
        "delayed-transactions" to connections::delayTransactions,
        "slow-store" to connections::slowStore,
        "read-after-write" to { cluster.immediateReads = true },
        "transient-outbound-partition" to { workers.blockTemporarily(33.0, 66.0) { worker, on -> worker.outboundBlocked = on } },
        "transient-inbound-partition" to { workers.blockTemporarily(36.0, 70.0) { worker, on -> worker.inboundBlocked = on } },
        "failovers-during-boot" to {
            workers.bootFast()
            controllers.killLeadersDuringBoot()
        },
        "small-job-burst" to load::submitManySmallJobs,
        "invalid-requests" to load::sendInvalidRequests,
    )

    /** Schedules the faults of [row], a list of their names joined by `+`. */
    fun inject(row: String) {
        val names = row.split('+').toSet()
        val unknown = names - faults.keys
        require(unknown.isEmpty()) { "unknown faults: $unknown" }
        for ((name, start) in faults) if (name in names) start()
    }
}
