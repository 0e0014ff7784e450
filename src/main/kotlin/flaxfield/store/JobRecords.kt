package flaxfield.store

import flaxfield.codec.FieldMap
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.JobCodec
import flaxfield.jobs.Placement

/**
 * The jobs of the view. A job is stored as a head, which contains chunk 0, and further chunks under keys of their own.
 * Head and chunks arrive in any order and are assembled here. Used only by the owner thread.
 *
 * @param versions the versions of all keys in the view
 * @param placements the index that is updated with each change of a job
 */
internal class JobRecords(private val versions: Map<String, ULong>, private val placements: PlacementIndex) {
    /** Incremented at each change of a job. */
    var version = 0L
        private set

    /** The jobs by id, in the order in which their heads were first seen. */
    val byId = LinkedHashMap<String, Job>()

    /** Chunks without a head, by `job/number`: listed before their head, or left behind by a finished job. */
    val orphanedChunks = HashMap<String, JobChunk>()

    /** The ids of the jobs with a task to halt: the job is cancelled or the task is stopping. */
    val halting = HashSet<String>()

    /** The ids of the jobs that are gangs. */
    val gangs = LinkedHashSet<String>()

    fun clear() {
        byId.clear()
        orphanedChunks.clear()
        halting.clear()
        gangs.clear()
        version++
    }

    /** Sets the head of job [id]; a null [value] means that it was deleted. */
    fun setHead(id: String, value: FieldMap?, version: ULong) {
        val old = byId[id]
        val head = value?.let { JobCodec.decodeHead(it, version) }
        if (head == null) return removeHead(id, old)
        if (old == null) {
            val chunks = head.chunks + takeOrphanedChunks(id)
            replace(id, null, head.copy(chunks = chunks), chunks.keys)
        } else {
            val chunks = head.chunks + old.chunks.filterKeys { it != 0 }
            replace(id, old, head.copy(chunks = chunks), HEAD_CHUNK)
        }
    }

    /** Sets the chunk [name], which is `job/number`; a null [value] means that it was deleted. */
    fun setChunk(name: String, value: FieldMap?, version: ULong) {
        val id = name.substringBefore('/')
        val number = name.substringAfter('/').toInt()
        val chunk = value?.let { JobCodec.decodeChunk(it, version) }
        val job = byId[id]
        if (job == null) {
            if (chunk == null) orphanedChunks.remove(name) else orphanedChunks[name] = chunk
            return
        }
        val chunks = if (chunk == null) job.chunks - number else job.chunks + (number to chunk)
        replace(id, job, job.copy(chunks = chunks), setOf(number))
    }

    /** Removes a deleted head. Its chunks become orphaned if their own keys still exist. */
    private fun removeHead(id: String, old: Job?) {
        for ((number, chunk) in old?.chunks.orEmpty()) {
            if (number != 0 && versions.containsKey(StoreKeys.chunk(id, number))) orphanedChunks["$id/$number"] = chunk
        }
        replace(id, old, null, old?.chunks?.keys.orEmpty())
    }

    /** Removes the chunks of [id] that arrived before its head, and returns them by number. */
    private fun takeOrphanedChunks(id: String): Map<Int, JobChunk> {
        val taken = LinkedHashMap<Int, JobChunk>()
        for (name in orphanedChunks.keys.filter { it.startsWith("$id/") }) {
            val chunk = orphanedChunks.remove(name) ?: continue
            taken[name.substringAfter('/').toInt()] = chunk
        }
        return taken
    }

    /**
     * Replaces [old] by [new] and updates the indexes. Only [changedChunks] may differ between the two: comparing all
     * chunks of a job with 25,000 tasks would take a hundred comparisons for each changed chunk.
     */
    private fun replace(id: String, old: Job?, new: Job?, changedChunks: Collection<Int>) {
        version++
        val sameRequest = old?.spec?.taskResources == new?.spec?.taskResources
        for (number in changedChunks) {
            val before = old?.chunks?.get(number)?.placed
            val after = new?.chunks?.get(number)?.placed
            if (before !== after || !sameRequest) updatePlacements(id, before, after)
        }
        if (new == null) byId.remove(id) else byId[id] = new
        if (new?.isGang == true) gangs += id else gangs -= id
        if (new != null && mustHalt(new)) halting += id else halting -= id
    }

    private fun updatePlacements(id: String, before: Map<Int, Placement>?, after: Map<Int, Placement>?) {
        before?.values?.forEach { if (after?.get(it.index) != it) placements.remove(id, it) }
        after?.values?.forEach { if (before?.get(it.index) != it) placements.add(id, it) }
    }

    private fun mustHalt(job: Job): Boolean = job.placedCount > 0 && (job.cancelled || job.hasStoppingTasks)

    private companion object {
        val HEAD_CHUNK = setOf(0)
    }
}
