package flaxfield.jobs

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import org.slf4j.LoggerFactory

/** Why a job makes no progress. */
enum class Stall { BACKS_OFF, WAITS_FOR_RESOURCES, WAITS_FOR_PROOF, RUNS, MACHINE_GONE }

/** Pure: what keeps a job from moving on. */
object StallRules {
    /** [known] tells whether a host's record exists: it is dropped only once its return was answered. */
    fun reason(job: Job, nowMs: Long, known: (String) -> Boolean): Stall = when {
        job.allPlaced().any { !known(it.machineName) } -> Stall.MACHINE_GONE
        job.retryAtMs > nowMs -> Stall.BACKS_OFF
        job.pendingCount > 0 -> Stall.WAITS_FOR_RESOURCES
        job.cancelled || job.allPlaced().any { it.stopping } -> Stall.WAITS_FOR_PROOF
        else -> Stall.RUNS
    }
}

/** The leader's look at jobs whose records do not change: it names them, and heals what no one else would. */
class StallMonitor(private val context: ControllerContext, private val taskEvents: TaskEventCommitter) {
    private class Seen(val version: ULong, val sinceNs: Long) {
        /** How often it has been named: once in each [STILL_S], not at each look. */
        var named = 0
    }

    private val seen = HashMap<String, Seen>()
    private var nextNs = 0L

    fun tick() {
        if (context.nowNs < nextNs) return
        nextNs = context.nowNs + (context.settings.workers.leaseS * LOOK_LEASES * NANOS_PER_SECOND).toLong()
        if (!context.leadership.isLeader()) return seen.clear()
        val w = context.view
        seen.keys.retainAll(w.jobs.keys)
        for (job in w.jobs.values) {
            val version = job.chunks.values.maxOfOrNull { it.version } ?: job.version
            val before = seen[job.id]
            if (before == null || before.version != version) {
                seen[job.id] = Seen(version, context.nowNs)
                continue
            }
            look(job, before)
        }
    }

    private fun look(job: Job, seen: Seen) {
        val stillS = (context.nowNs - seen.sinceNs) / NANOS_PER_SECOND
        val known = context.view.machines::containsKey
        if (stillS > context.settings.workers.leaseS &&
            StallRules.reason(job, context.nowMs, known) == Stall.MACHINE_GONE
        ) {
            // A host's record goes only with the answer to its return, and names are never used again.
            for (p in job.allPlaced().filter { !known(it.machineName) }) {
                taskEvents.add(TaskEvent.Lost(job.id, p.index, p.attempt, p.machineName, "host is gone", false))
            }
        }
        if (stillS < STILL_S * (seen.named + 1)) return
        seen.named++
        val reason = StallRules.reason(job, context.nowMs, known)
        if (reason == Stall.RUNS) return
        log.info(
            "job={} term={} stands still for {} s: {} pending={} placed={} owner={}",
            job.id,
            context.leadership.term(),
            stillS.toInt(),
            reason,
            job.pendingCount,
            job.placedCount,
            job.spec.team,
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** How often the records are looked at, in leases. */
        const val LOOK_LEASES = 1.0

        /**
         * The operators ask that no job goes 75 s without an answered question; one that stands still as long is named.
         */
        const val STILL_S = 75.0
    }
}
