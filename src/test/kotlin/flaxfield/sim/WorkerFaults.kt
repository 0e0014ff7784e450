package flaxfield.sim

/** Faults of workers, and of the cloud that boots their machines. */
class WorkerFaults(private val cluster: SimCluster, private val schedule: FaultSchedule) {
    private val cloud = cluster.cloud
    private val random = cluster.loop.random

    private fun randomWorker(): SimWorker? = cloud.workers.values.toList().randomOrNull(random)

    fun hangSomeWorkers() {
        for (n in 0 until 4) {
            schedule.at(25.0 + 18 * n) {
                val worker = randomWorker() ?: return@at
                worker.hung = true
                schedule.at(10.0 + 4 * n) { worker.hung = false }
            }
        }
    }

    fun terminateSomeWorkers() {
        for (n in 0 until 4) schedule.at(28.0 + 16 * n) { randomWorker()?.terminate() }
    }

    /** Permanently blocks the responses and commands to some workers. */
    fun blockInbound() {
        for (n in 0 until 3) schedule.at(24.0 + 20 * n) { randomWorker()?.inboundBlocked = true }
    }

    /** At each time in [startsS], blocks many workers with [setBlocked] for longer than a lease. */
    fun blockTemporarily(vararg startsS: Double, setBlocked: (SimWorker, Boolean) -> Unit) {
        for (startS in startsS) {
            schedule.at(startS) {
                val blockedWorkers = cloud.workers.values.filter { random.nextDouble() < 0.4 }
                for (worker in blockedWorkers) setBlocked(worker, true)
                schedule.at(SimCluster.LEASE_S * 1.6) { for (worker in blockedWorkers) setBlocked(worker, false) }
            }
        }
    }

    /** Makes some machines fail to boot, then makes all boots slow, and finally almost immediate. */
    fun failAndDelayBoots() {
        schedule.during(5.0, 40.0) { cloud.bootFailureRate = if (it) 0.5 else 0.0 }
        schedule.during(50.0, 30.0) { cloud.bootFactor = if (it) 5.0 else 0.02 }
    }

    fun bootFast() = schedule.during(3.0, 100.0) { cloud.bootFactor = if (it) 0.02 else 1.0 }

    /** Makes every task that starts on some machine fail, for a few seconds at a time. */
    fun failTasksBriefly() {
        for (n in 0 until 5) {
            schedule.at(22.0 + 17 * n) {
                val worker = randomWorker() ?: return@at
                worker.failsTasks = true
                schedule.at(2.0 + 2 * n) { worker.failsTasks = false }
            }
        }
    }

    /** Leaves one machine of each kind in one zone. It stays so until the end of the simulation. */
    fun exhaustZone() = schedule.at(30.0) {
        for (preemptible in listOf(true, false)) cloud.limitCapacity("a", preemptible, machines = 1)
    }

    /** Makes every task that starts on the first machine fail. */
    fun failTasksOnOneMachine() = schedule.at(22.0) { cloud.workers.values.firstOrNull()?.failsTasks = true }
}
