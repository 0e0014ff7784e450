package flaxfield.sim

/** Faults of the state service and of the connections between controllers, the state service and workers. */
class ConnectionFaults(private val cluster: SimCluster, private val schedule: FaultSchedule) {
    private val network = cluster.network
    private val store = cluster.store

    fun storeOutage(fromS: Double, durationS: Double) = schedule.during(fromS, durationS) { store.outage = it }

    fun cutSomeLinks() {
        schedule.during(30.0, 15.0) { network.storeLinks[0].cut = it }
        schedule.during(60.0, 12.0) { network.workerLinks[1].cut = it }
    }

    fun loseStoreResponses() {
        for (link in network.storeLinks) {
            schedule.during(15.0, 90.0) { on ->
                link.lostResponseRate = if (on) 0.05 else 0.0
                link.lateRequestRate = if (on) 0.05 else 0.0
            }
        }
    }

    fun loseTransactionResponses() {
        for (link in network.storeLinks) {
            schedule.during(15.0, 90.0) { link.lostTransactionResponseRate = if (it) 0.25 else 0.0 }
        }
    }

    fun delayTransactions() {
        for (link in network.storeLinks) {
            schedule.during(15.0, 90.0) { link.lateTransactionRate = if (it) 0.15 else 0.0 }
        }
    }

    fun slowStore() {
        for (link in network.storeLinks) schedule.during(25.0, 60.0) { link.extraLatencyMs = if (it) 250L else 0L }
    }

    fun duplicateHeartbeats() = schedule.during(15.0, 95.0) { cluster.heartbeats.duplicateRate = if (it) 0.1 else 0.0 }

    fun duplicateHeartbeatsForNextLeader() = schedule.during(15.0, 95.0) {
        cluster.heartbeats.duplicateForNextLeaderRate = if (it) 0.4 else 0.0
    }

    /** Partitions each controller in turn from the state service and its peers, but not from its workers. */
    fun isolateEachController() {
        for (index in 0 until 3) schedule.during(28.0 + 28 * index, 12.0 + 6 * index) { isolate(index, it) }
    }

    /** Partitions the leader from the state service and its peers, but not from its workers and users. */
    fun isolateLeader() {
        var leader = 0
        schedule.at(40.0) {
            leader = cluster.leader
            isolate(leader, true)
        }
        schedule.at(58.0) { isolate(leader, false) }
    }

    private fun isolate(index: Int, on: Boolean) {
        network.storeLinks[index].cut = on
        network.peersCut[index] = on
    }

    /**
     * Partitions one zone at a time, with its controllers, for longer than a worker's lease. Some of the tasks are
     * lost, but no task may run twice.
     */
    fun partitionZones() {
        for (link in network.storeLinks) link.buffersWhileCut = true
        schedule.during(30.0, 14.0) { network.partitionedZone = if (it) "b" else null }
        schedule.during(70.0, 9.0) { network.partitionedZone = if (it) "a" else null }
    }

    fun disconnectPeers() = schedule.during(40.0, 30.0) { network.peersDisconnected = it }
}
