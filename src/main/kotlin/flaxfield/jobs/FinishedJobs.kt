package flaxfield.jobs

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine

/**
 * The last [most] finished jobs that this node has heard of. The cache is made with its first entry: a node that has
 * just started has more urgent work than loading it.
 */
class FinishedJobs(private val most: Long) {
    private var cache: Cache<String, FinishedJob>? = null

    /** The job with this id, if it is remembered as finished. */
    fun find(id: String): FinishedJob? = cache?.getIfPresent(id)

    /** Remembers a job that is finished for good. */
    fun remember(job: FinishedJob) {
        val entries =
            cache
                ?: Caffeine.newBuilder().maximumSize(most).executor(Runnable::run).build<String, FinishedJob>().also {
                    cache =
                        it
                }
        entries.put(job.id, job)
    }
}
