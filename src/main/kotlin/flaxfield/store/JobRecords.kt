package flaxfield.store

import flaxfield.codec.FieldMap
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.JobCodec
import flaxfield.jobs.Placement

/**
 * The jobs of the view. A job is stored as a head, which holds chunk 0, and its further chunks under keys of their own;
 * they arrive in any order and are put together here. Owned by the owner thread.
 *
 * @param versions the versions of all keys that the view holds
 * @param placements kept up to date with each change of a job
 */
internal class JobRecords(private val versions: Map<String, ULong>, private val placements: PlacementIndex) {
    /** Grows with each change of a job. */
    var version = 0L
        private set

    /** The jobs by id, in the order in which their heads were first seen. */
    val byId = LinkedHashMap<String, Job>()

    /** Chunks without a head, by `job/number`: listed before their head, or left over by a finished job. */
    val orphanedChunks = HashMap<String, JobChunk>()

    /** The ids of jobs of which some task is to leave its machine: cancelled, or told to stop. */
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

    /** Takes in the head of job [id]; a null [value] says that it was deleted. */
    fun setHead(id: String, value: FieldMap?, version: ULong) {
        val old = byId[id]
        val head = value?.let { JobCodec.decodeHead(it, version) }
        if (head == null) return removeHead(id, old)
        if (old == null) {
            val chunks = head.chunks + takeStrayChunks(id)
            replace(id, null, head.copy(chunks = chunks), chunks.keys)
        } else {
            val chunks = head.chunks + old.chunks.filterKeys { it != 0 }
            replace(id, old, head.copy(chunks = chunks), HEAD_CHUNK)
        }
    }

    /** Takes in the chunk [name], which is `job/number`; a null [value] says that it was deleted. */
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

    /** Chunks of a deleted head are strays for as long as their own keys exist. */
    private fun removeHead(id: String, old: Job?) {
        for ((number, chunk) in old?.chunks.orEmpty()) {
            if (number != 0 && versions.containsKey(StoreKeys.chunk(id, number))) orphanedChunks["$id/$number"] = chunk
        }
        replace(id, old, null, old?.chunks?.keys.orEmpty())
    }

    /** Removes and returns, by number, the chunks of [id] that came before its head. */
    private fun takeStrayChunks(id: String): Map<Int, JobChunk> {
        val taken = LinkedHashMap<Int, JobChunk>()
        for (name in orphanedChunks.keys.filter { it.startsWith("$id/") }) {
            val chunk = orphanedChunks.remove(name) ?: continue
            taken[name.substringAfter('/').toInt()] = chunk
        }
        return taken
    }

    /**
     * Puts [new] in place of [old]. Only the chunks [changedChunks] may differ: comparing all of them would cost a job
     * of 25,000 tasks a hundred comparisons at each change of one.
     */
    private fun replace(id: String, old: Job?, new: Job?, changedChunks: Collection<Int>) {
        version++
        val sameRequest = old?.spec?.taskResources == new?.spec?.taskResources
        for (number in changedChunks) {
            val before = old?.chunks?.get(number)?.placed
            val after = new?.chunks?.get(number)?.placed
            if (before !== after || !sameRequest) movePlacements(id, before, after)
        }
        if (new == null) byId.remove(id) else byId[id] = new
        if (new?.isGang == true) gangs += id else gangs -= id
        if (new != null && mustHalt(new)) halting += id else halting -= id
    }

    private fun movePlacements(id: String, before: Map<Int, Placement>?, after: Map<Int, Placement>?) {
        before?.values?.forEach { if (after?.get(it.index) != it) placements.remove(id, it) }
        after?.values?.forEach { if (before?.get(it.index) != it) placements.add(id, it) }
    }

    private fun mustHalt(job: Job): Boolean =
        job.placedCount > 0 && (job.cancelled || job.allPlaced().any { it.stopping })

    private companion object {
        val HEAD_CHUNK = setOf(0)
    }
}
