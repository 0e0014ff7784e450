package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.net.Responder

/**
 * Finds jobs for users' requests, both live and finished ones. If a read has no outcome, the request gets a response
 * with status 503 and the continuation is not run.
 */
internal class JobReader(context: ControllerContext) {
    private val finishedJobs = FinishedJobCache(context.operator.finishedCache.toLong())
    private val finishedLookup = FinishedJobLookup(context, finishedJobs::put)
    private val currentJobs = LinearizableJobReader(context)

    /** Returns the finished job with this [id] if it is cached, or else null. */
    fun findCached(id: String): FinishedJob? = finishedJobs.find(id)

    /** Runs [then] with the current state of the job, or with null if no live job has this [id]. */
    fun readCurrent(id: String, responder: Responder, then: (Job?) -> Unit) = currentJobs.read(id) { result ->
        when (result) {
            is JobReadResult.Current -> then(result.job)
            is JobReadResult.Unavailable -> responder.send(JobResponse.Unavailable(result.reason))
        }
    }

    /** Looks up a finished job in the store; runs [absent] if there is none. */
    fun findFinished(id: String, responder: Responder, found: (FinishedJob) -> Unit, absent: () -> Unit) =
        finishedLookup.lookUp(id) { result ->
            when (result) {
                is FinishedJobLookupResult.Found -> found(result.job)
                is FinishedJobLookupResult.Absent -> absent()
                is FinishedJobLookupResult.Unavailable -> responder.send(
                    JobResponse.Unavailable("not found out in time"),
                )
            }
        }

    /** Completes the reads whose revision the view has reached. */
    fun onViewAdvanced() = currentJobs.onViewAdvanced()

    /** Sends pending reads that are due, and fails those that timed out. */
    fun tick() {
        finishedLookup.run()
        currentJobs.tick()
    }
}
