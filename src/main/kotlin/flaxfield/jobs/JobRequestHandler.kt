package flaxfield.jobs

import flaxfield.arrays.InitialPlacement
import flaxfield.controller.ControllerContext
import flaxfield.net.Responder
import flaxfield.store.StoreKeys
import org.slf4j.LoggerFactory

/**
 * Users' requests: submission, status, cancellation. No outcome is reported before it is committed, and each request
 * gets one response. Used by the owner thread only.
 *
 * @param begin places the first tasks of a job that is just being submitted, if that can be done at once
 */
class JobRequestHandler(private val context: ControllerContext, begin: (Job) -> InitialPlacement?) {
    private val reader = JobReader(context)
    private val submitter = JobSubmitter(context, reader, begin, ::status)
    private val canceller = JobCanceller(context, reader)

    /** Accepts or rejects the job that [body] describes; a repeat of an accepted one is answered with its status. */
    fun submit(body: ByteArray, responder: Responder) = submitter.submit(body, responder)

    /** Cancels the job with this [id]; a repeat is answered alike. */
    fun cancel(id: String, responder: Responder) = canceller.cancel(id, responder)

    /** Answers with the state of the job with this [id], as of now. */
    fun status(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return responder.send(JobResponse.UnknownJob)
        val finished = reader.rememberedAsFinished(id)
        if (finished != null) return responder.send(JobResponse.Finished(finished))
        reader.readCurrent(id, responder) { job ->
            when {
                job != null -> responder.send(JobResponse.Live(job))
                context.view.version(StoreKeys.JOB + id) != 0uL -> {
                    // Its record exists and can't be decoded: it was accepted all the same, and is never unknown.
                    log.error("event=job_record_unreadable job={}", id)
                    responder.send(JobResponse.Pending(id))
                }
                else -> reader.findFinished(id, responder, { responder.send(JobResponse.Finished(it)) }) {
                    responder.send(JobResponse.UnknownJob)
                }
            }
        }
    }

    /** Ends reads that the view has caught up with. */
    fun onViewAdvanced() = reader.onViewAdvanced()

    /** Sends what waits for its turn, and gives up on what took too long. */
    fun tick() = reader.tick()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")
    }
}
