package flaxfield.jobs

import flaxfield.node.NodeContext
import org.slf4j.LoggerFactory

/** Why a job makes no progress. */
enum class Stall { BACKS_OFF, WAITS_FOR_ROOM, WAITS_FOR_PROOF, RUNS, HOST_GONE }

/** Pure: what keeps a job from moving on. */
object StallRules {
    /** [known] tells whether a host's record exists: it is dropped only once its return was answered. */
    fun reason(job: Job, nowMs: Long, known: (String) -> Boolean): Stall = when {
        job.allPlaced().any { !known(it.host) } -> Stall.HOST_GONE
        job.retryAtMs > nowMs -> Stall.BACKS_OFF
        job.pendingCount > 0 -> Stall.WAITS_FOR_ROOM
        job.cancelled || job.allPlaced().any { it.stopping } -> Stall.WAITS_FOR_PROOF
        else -> Stall.RUNS
    }
}

/** The leader's look at jobs whose records do not change: it names them, and heals what no one else would. */
class StallMonitor(private val hub: NodeContext, private val settlement: TaskCompletion) {
    private class Seen(val stamp: ULong, val sinceNs: Long) {
        /** How often it has been named: once in each [STILL_S], not at each look. */
        var named = 0
    }

    private val seen = HashMap<String, Seen>()
    private var nextNs = 0L

    fun tick() {
        if (hub.nowNs < nextNs) return
        nextNs = hub.nowNs + (hub.settings.workers.leaseS * LOOK_LEASES * NS).toLong()
        if (!hub.leads()) return seen.clear()
        val w = hub.world
        seen.keys.retainAll(w.jobs.keys)
        for (job in w.jobs.values) {
            val stamp = job.chunks.values.maxOfOrNull { it.stamp } ?: job.stamp
            val before = seen[job.id]
            if (before == null || before.stamp != stamp) {
                seen[job.id] = Seen(stamp, hub.nowNs)
                continue
            }
            look(job, before)
        }
    }

    private fun look(job: Job, seen: Seen) {
        val stillS = (hub.nowNs - seen.sinceNs) / NS
        val known = hub.world.machines::containsKey
        if (stillS > hub.settings.workers.leaseS && StallRules.reason(job, hub.nowMs, known) == Stall.HOST_GONE) {
            // A host's record goes only with the answer to its return, and names are never used again.
            for (p in job.allPlaced().filter { !known(it.host) }) {
                settlement.add(TaskEvent.Left(job.id, p.index, p.attempt, p.host, "host is gone", false))
            }
        }
        if (stillS < STILL_S * (seen.named + 1)) return
        seen.named++
        val reason = StallRules.reason(job, hub.nowMs, known)
        if (reason == Stall.RUNS) return
        log.info(
            "job={} term={} stands still for {} s: {} pending={} placed={} owner={}",
            job.id,
            hub.term(),
            stillS.toInt(),
            reason,
            job.pendingCount,
            job.placedCount,
            job.spec.owner,
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")
        const val NS = 1e9

        /** How often the records are looked at, in leases. */
        const val LOOK_LEASES = 1.0

        /** The operators ask that no job goes 75 s without an answered question; one that stands still as long is named. */
        const val STILL_S = 75.0
    }
}
