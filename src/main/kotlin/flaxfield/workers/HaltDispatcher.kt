package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Tells workers what can't wait for their next report: halts, and the epoch where they do not come by themselves. */
class HaltDispatcher(
    private val context: ControllerContext,
    private val workerHealth: WorkerHealth,
    private val direct: DirectCommandSender,
) {
    /** The cloud takes the machine back soon: tasks that can save are stopped, so that they go on elsewhere. */
    fun drain(heartbeat: Heartbeat, term: ULong) {
        for (list in context.view.on(heartbeat.machineName).groupBy { it.job.id }.values) {
            val job = list.first().job
            if (job.spec.checkpointIntervalS <= 0.0 ||
                job.isGang &&
                job.spec.taskCount > 1 &&
                list.size == job.spec.taskCount
            ) {
                continue
            }
            stop(
                job.id,
                list.filter {
                    !it.placed.stopping
                }.map { it.placed.index },
                term,
                "notice on ${heartbeat.machineName}",
            )
        }
    }

    /** Records that tasks are to stop; their halts follow from the records. */
    fun stop(id: String, tasks: List<Int>, term: ULong, why: String) {
        val job = context.view.jobs[id] ?: return
        if (tasks.isEmpty() ||
            job.chunks.keys.any { context.transactions.isWritePending(StoreKeys.chunk(id, it)) }
        ) {
            return
        }
        val all = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val write = TaskEventCommitter.write(job, job.stop(all), term)
        val mark = context.subsystem?.lossMark()
        val sent = context.transactions.submit(
            WriteCause.GANG,
            if (mark ==
                null
            ) {
                write
            } else {
                write.copy(changes = write.changes + mark)
            },
        )
        if (sent) log.info("job={} tasks={} term={} to stop: {}", id, all, term, why)
    }

    /**
     * Halts at once what the records no longer want, without waiting for the next report. What is cancelled is halted
     * also while our lease is over, and where the machine has not reported to us yet: its records and its last summary
     * tell enough. A halt of a cancelled task is right under any term, and a worker drops it if it knows a newer one.
     */
    fun haltNow() {
        val term = context.view.assignment?.term ?: return
        if (context.view.halting.isEmpty()) return
        val mayAct = context.leadership.mayAct()
        val halting = context.view.halting.flatMapTo(LinkedHashSet()) { id ->
            val job = context.view.jobs[id]
            job?.allPlaced()?.filter {
                job.cancelled || mayAct && it.stopping
            }?.map { it.machineName }?.toList().orEmpty()
        }
        for (machineName in halting) {
            val zone =
                context.view.machines[machineName]?.zone ?: workerHealth.known(machineName)?.heartbeat?.zone ?: continue
            if (!context.shards.owns(machineName, zone)) continue
            val workerState = workerHealth.workerState(machineName)
            if (context.nowNs - workerState.haltedNs <
                context.settings.workers.heartbeatIntervalS * NANOS_PER_SECOND
            ) {
                continue
            }
            val halts = HeartbeatReconciler.haltsNow(
                context.view.on(machineName),
                workerState.heartbeat,
                quiet(workerState),
                mayAct,
            )
            if (halts.isEmpty()) continue
            val worker = worker(workerState) ?: continue
            if (!direct.send(
                    worker.address,
                    HeartbeatCodec.encodeDirect(term, worker.incarnation, halts),
                    context.post,
                )
            ) {
                continue
            }
            workerState.haltedNs = context.nowNs
            log.debug("machine={} term={} direct={}", machineName, term, halts)
        }
    }

    /** Where a worker is to be reached. */
    private class Reached(val address: String, val incarnation: ULong)

    /**
     * By what it last told us or, if that is newer, an earlier owner: a late copy may have been the first that we
     * heard.
     */
    private fun worker(workerState: WorkerState): Reached? {
        val heartbeat = workerState.heartbeat
        val room = context.view.lastKnownStatus(workerState.machineName)?.takeIf {
            it.incarnation > 0uL &&
                it.address.isNotEmpty()
        }
        return when {
            heartbeat != null && (room == null || heartbeat.incarnation >= room.incarnation) -> Reached(
                heartbeat.address,
                heartbeat.incarnation,
            )
            room != null -> Reached(room.address, room.incarnation)
            else -> null
        }
    }

    private fun quiet(workerState: WorkerState): Boolean = context.nowNs - workerState.lastHeartbeatNs >
        context.settings.workers.heartbeatIntervalS * QUIET_HEARTBEATS * NANOS_PER_SECOND

    fun tick() {
        workerHealth.observeTerm()
        val term = context.leadership.term() ?: return
        if (context.leadership.mayAct()) push(term)
    }

    /** Tells our workers the epoch when they do not come by themselves: they may be held at a node cut off. */
    private fun push(term: ULong) {
        val quiet = (context.settings.workers.heartbeatIntervalS * QUIET_HEARTBEATS * NANOS_PER_SECOND).toLong()
        for (m in context.shards.ownedMachines()) {
            val machineName = m.name
            val workerState = workerHealth.workerState(machineName)
            if (context.nowNs - maxOf(workerState.lastHeartbeatNs, workerHealth.ownerSinceNs, workerState.pushedNs) <
                quiet
            ) {
                continue
            }
            val worker = worker(workerState) ?: continue
            if (!direct.send(
                    worker.address,
                    HeartbeatCodec.encodeDirect(term, worker.incarnation, emptyList()),
                    context.post,
                )
            ) {
                continue
            }
            workerState.pushedNs = context.nowNs
            log.debug("machine={} fencing_token={} pushed", machineName, term)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** A worker not heard of for this many report intervals is sent the epoch. */
        const val QUIET_HEARTBEATS = 2.0
    }
}
