package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.net.Responder

/**
 * Finds jobs for users' requests, among those of the view and the finished ones. A read that has no outcome answers the
 * request with 503; its continuation is then not run.
 */
internal class JobReader(context: ControllerContext) {
    private val finishedJobs = FinishedJobCache(context.operator.finishedCache.toLong())
    private val finishedLookup = FinishedJobLookup(context, finishedJobs::remember)
    private val currentJobs = LinearizableJobReader(context)

    /** The finished job with this [id], if this process remembers it. */
    fun rememberedAsFinished(id: String): FinishedJob? = finishedJobs.find(id)

    /** Runs [then] with the job as of now, or null if there is no live one. */
    fun readCurrent(id: String, responder: Responder, then: (Job?) -> Unit) = currentJobs.read(id) { result ->
        when (result) {
            is JobReadResult.Current -> then(result.job)
            is JobReadResult.Unavailable -> responder.send(JobResponse.Unavailable(result.reason))
        }
    }

    /** Looks for a finished job in the store; [absent] runs if there is none. */
    fun findFinished(id: String, responder: Responder, found: (FinishedJob) -> Unit, absent: () -> Unit) =
        finishedLookup.ask(id) { result ->
            when (result) {
                is FinishedJobResult.Known -> found(result.job)
                is FinishedJobResult.Absent -> absent()
                is FinishedJobResult.Unclear -> responder.send(JobResponse.Unavailable("not found out in time"))
            }
        }

    /** Ends reads that the view has caught up with. */
    fun onViewAdvanced() = currentJobs.onViewAdvanced()

    /** Sends what waits for its turn, and gives up on what took too long. */
    fun tick() {
        finishedLookup.run()
        currentJobs.tick()
    }
}
