package flaxfield.arrays

import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/** Assigns the pending tasks of an array to machines of a shard. Pure functions. */
object ArrayPlacement {
    /** The maximum number of tasks, machines and chunks of the job's records in one transaction. */
    data class Limits(val tasks: Int, val machines: Int = Int.MAX_VALUE, val chunks: Int = Int.MAX_VALUE)

    /**
     * Places pending tasks of [job] at [nowMs], starting with [firstTask], within [limits] and only from the chunks for
     * which [isChunkOpen] holds. Subtracts their resources from the candidates, and returns the candidates by task index.
     */
    fun place(
        job: Job,
        candidates: List<PlacementCandidate>,
        topology: TopologyConstraint,
        firstTask: Int,
        limits: Limits,
        nowMs: Long,
        isChunkOpen: (Int) -> Boolean = { true },
    ): Map<Int, PlacementCandidate> {
        if (limits.tasks <= 0) return emptyMap()
        val spec = job.spec
        val eligible = candidates.filter { it.fits(job, nowMs) }.sortedWith(binPackingOrder(spec)).take(limits.machines)
        if (eligible.isEmpty()) return emptyMap()
        val placed = LinkedHashMap<Int, PlacementCandidate>()
        val chunks = HashSet<Int>()
        val tasks = job.pending(firstTask) {
            isChunkOpen(it) && (chunks.size < limits.chunks || it in chunks)
        }.iterator()
        for (candidate in eligible) {
            while (placed.size < limits.tasks && fitsOneMore(candidate, spec, topology)) {
                if (!tasks.hasNext()) return placed
                val task = tasks.next()
                chunks += task / job.chunkTasks
                placed[task] = candidate
                candidate.assume(spec)
                topology.add(candidate.machine.zone)
            }
        }
        return placed
    }

    private fun fitsOneMore(candidate: PlacementCandidate, spec: JobSpec, topology: TopologyConstraint): Boolean =
        candidate.room.canHold(spec) && topology.allows(candidate.machine.zone)

    /** Prefers spot machines where the job may use them, then machines with its image, then the fullest. */
    private fun binPackingOrder(spec: JobSpec) = compareBy<PlacementCandidate> {
        if (spec.preemptible && !it.machine.preemptible) 1 else 0
    }
        .thenBy { if (spec.image in it.images) 0 else 1 }
        .thenBy { it.free.gpus }
        .thenBy { it.free.cpus }
        .thenBy { it.machine.name }
}
