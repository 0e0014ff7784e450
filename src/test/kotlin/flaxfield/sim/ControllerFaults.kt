package flaxfield.sim

/** Faults of the controllers' processes: crashes, restarts, pauses and a lack of processor time. */
class ControllerFaults(private val cluster: SimCluster, private val schedule: FaultSchedule) {
    private val random = cluster.loop.random
    private val indices = cluster.controllerNames.indices

    private fun randomController() = random.nextInt(indices.count())

    fun killPeriodically() {
        for (n in 0 until 5) {
            schedule.at(20.0 + 15 * n) { cluster.kill(randomController(), if (n % 2 == 0) 0.3 else 3.0) }
        }
    }

    fun killAll() = schedule.at(45.0) { for (index in indices) cluster.kill(index, 2.0) }

    /** Kills all controllers for longer than a worker's lease. Later kills all again, but restarts one immediately. */
    fun killAllBeyondLease() {
        schedule.at(45.0) {
            for (index in indices) cluster.kill(index, SimCluster.LEASE_S * (if (index == 0) 1.3 else 3.0))
        }
        schedule.at(85.0) { for (index in indices) cluster.kill(index, if (index == 2) 0.3 else 9.0) }
    }

    fun killLeaders() {
        for (n in 0 until 6) schedule.at(28.0 + 13 * n) { cluster.kill(cluster.leader, 5.0) }
    }

    fun killTenLeaders() {
        for (n in 0 until 10) {
            schedule.at(22.0 + 8.5 * n) { cluster.kill(cluster.leader, if (n % 3 == 0) 0.2 else 3.0) }
        }
    }

    /** Kills the leader repeatedly, starting with the first rentals, while the machines that it rented are booting. */
    fun killLeadersDuringBoot() {
        for (n in 0 until 6) schedule.at(5.0 + 14 * n) { cluster.kill(cluster.leader, 2.0) }
    }

    /** Repeatedly restarts controllers within a fraction of a second, also during leader elections. */
    fun restartRepeatedly() {
        for (n in 0 until 12) {
            schedule.at(20.0 + 7 * n) {
                for (index in indices) {
                    if (random.nextInt(2) == 0) cluster.kill(index, 0.05 + 0.3 * random.nextDouble())
                }
            }
        }
        for (n in 0 until 6) schedule.at(21.5 + 14 * n) { cluster.kill(randomController(), 0.1) }
    }

    fun freezeSomeControllers() {
        for (n in 0 until 3) schedule.at(26.0 + 25 * n) { cluster.freeze(randomController(), 8.0 + 2 * n) }
    }

    fun starveProcessors() {
        for (processor in cluster.processors) schedule.during(15.0, 95.0) { processor.isStarved = it }
    }
}
