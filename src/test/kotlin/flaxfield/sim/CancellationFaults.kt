package flaxfield.sim

/** Cancellations by users, together with the faults that coincide with them. */
class CancellationFaults(private val cluster: SimCluster, private val schedule: FaultSchedule, private val users: List<SimUser>) {
    private val random = cluster.loop.random

    fun cancelPeriodically() {
        for (n in 0 until 9) cancelRunning(30.0 + 8 * n, 2.0, share = 0.15)
    }

    /**
     * Makes the state service reject the leader's requests while the other controllers confirm cancellations. Then
     * makes it unavailable to all controllers for longer than `cancel_s`.
     */
    fun aroundStoreOutage() {
        var leader = 0
        schedule.at(50.0) {
            leader = cluster.leader
            cluster.store.setRejected(leader, true)
        }
        cancelRunning(50.1, 0.8, share = 0.9)
        schedule.during(51.0, cluster.cancelS * 1.5) { cluster.store.outage = it }
        schedule.at(54.0) { cluster.store.setRejected(leader, false) }
    }

    fun whileWorkersHang() {
        for (fromS in doubleArrayOf(41.0, 72.0)) {
            withFaultOnFourWorkers(fromS, SimCluster.LEASE_S * 1.8) { worker, on -> worker.hung = on }
            cancelRunning(fromS + 0.05, 0.2, share = 0.5)
        }
    }

    /** Cancels jobs while four workers are partitioned from all controllers. */
    fun whileWorkersArePartitioned() {
        for (fromS in doubleArrayOf(38.0, 69.0)) {
            withFaultOnFourWorkers(fromS, SimCluster.LEASE_S * 1.5) { worker, on ->
                worker.outboundBlocked = on
                worker.inboundBlocked = on
            }
            cancelRunning(fromS + 0.1, 1.0, share = 0.4)
        }
    }

    private fun withFaultOnFourWorkers(fromS: Double, durationS: Double, setFault: (SimWorker, Boolean) -> Unit) = schedule.at(fromS) {
        val healthy = cluster.cloud.workers.values.filter { it.healthyMachine() != null }
        val faultyWorkers = healthy.shuffled(random).take(4)
        for (worker in faultyWorkers) setFault(worker, true)
        schedule.at(durationS) { for (worker in faultyWorkers) setFault(worker, false) }
    }

    /** Makes about half of the users cancel their job at the moment when its last task completes. */
    fun asJobsComplete() {
        cluster.invariants.onComplete = { id ->
            if (random.nextInt(2) == 0) users.firstOrNull { it.spec.id == id }?.cancel()
        }
    }

    /** Cancels a random [share] of the accepted, unfinished jobs, each at a random time within [withinS] of [atS]. */
    private fun cancelRunning(atS: Double, withinS: Double, share: Double) = schedule.at(atS) {
        val running = users.filter {
            val phase = cluster.invariants.reportedPhase(it.spec.id)
            phase != null && phase !in InvariantChecker.FINAL_PHASES
        }
        for (user in running) {
            if (random.nextDouble() < share) schedule.at(random.nextDouble() * withinS) { user.cancel() }
        }
    }
}
