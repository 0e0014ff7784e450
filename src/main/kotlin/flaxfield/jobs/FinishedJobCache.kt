package flaxfield.jobs

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine

/**
 * The last [maxJobs] finished jobs that this process has read. The cache is created with its first entry, which keeps
 * the loading of its classes out of the start of the process.
 */
internal class FinishedJobCache(private val maxJobs: Long) {
    private var cache: Cache<String, FinishedJob>? = null

    /** The job with this [id], if it is remembered as finished. */
    fun find(id: String): FinishedJob? = cache?.getIfPresent(id)

    /** Remembers a job that is finished for good. */
    fun remember(job: FinishedJob) {
        val entries = cache ?: newCache().also { cache = it }
        entries.put(job.id, job)
    }

    private fun newCache(): Cache<String, FinishedJob> =
        Caffeine.newBuilder().maximumSize(maxJobs).executor(Runnable::run).build()
}
