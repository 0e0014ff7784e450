package flaxfield.jobs

/** Identifies one attempt of a task within its job. */
internal data class TaskAttempt(val index: Int, val attempt: Long)

/**
 * The events of one job that the view does not show yet, by chunk and in order of arrival. Chunks are the unit in which
 * they are committed, so that a commit looks only at the events that it takes.
 */
internal class PendingTaskEvents(var sinceNs: Long) {
    private class ChunkEvents {
        val byAttempt = LinkedHashMap<TaskAttempt, TaskEvent>()
        var hasLoss = false
    }

    private val byChunk = LinkedHashMap<Int, ChunkEvents>()

    /** The number of events. Some may be stale: their attempt may no longer be recorded. */
    var count = 0
        private set

    val isEmpty: Boolean get() = byChunk.isEmpty()

    /** Whether any event is a loss, as of the last time that each chunk was looked at. */
    val hasLoss: Boolean get() = byChunk.values.any { it.hasLoss }

    /** Adds an event of a task in chunk [number]; it replaces an earlier one of its attempt. Returns whether it is new. */
    fun add(number: Int, event: TaskEvent): Boolean {
        val chunk = byChunk.getOrPut(number) { ChunkEvents() }
        val isNew = chunk.byAttempt.put(TaskAttempt(event.index, event.attempt), event) == null
        if (isNew) count++
        if (event is TaskEvent.Lost) chunk.hasLoss = true
        return isNew
    }

    /** Returns the numbers of the chunks with events: first those with losses, each group in order of arrival. */
    fun chunks(): List<Int> = byChunk.entries.sortedBy { if (it.value.hasLoss) 0 else 1 }.map { it.key }

    /** Removes the events of chunk [number] whose attempt is not recorded in [job] any more, and returns the others. */
    fun current(number: Int, job: Job?): List<TaskEvent> {
        val chunk = byChunk[number] ?: return emptyList()
        count -= chunk.byAttempt.size
        chunk.byAttempt.values.removeIf { job?.placed(it.index)?.attempt != it.attempt }
        count += chunk.byAttempt.size
        if (chunk.byAttempt.isEmpty()) byChunk.remove(number)
        chunk.hasLoss = chunk.byAttempt.values.any { it is TaskEvent.Lost }
        return chunk.byAttempt.values.toList()
    }
}
