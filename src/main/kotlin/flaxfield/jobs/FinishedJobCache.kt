package flaxfield.jobs

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine

/**
 * Caches up to [maxJobs] finished jobs that this process has read. The cache is created with its first entry, so that
 * its classes are not loaded while the process starts.
 */
internal class FinishedJobCache(private val maxJobs: Long) {
    private var cache: Cache<String, FinishedJob>? = null

    /** Returns the finished job with this [id] if it is cached, or else null. */
    fun find(id: String): FinishedJob? = cache?.getIfPresent(id)

    /** Caches [job], which never changes again. */
    fun put(job: FinishedJob) {
        val entries = cache ?: newCache().also { cache = it }
        entries.put(job.id, job)
    }

    private fun newCache(): Cache<String, FinishedJob> =
        Caffeine.newBuilder().maximumSize(maxJobs).executor(Runnable::run).build()
}
