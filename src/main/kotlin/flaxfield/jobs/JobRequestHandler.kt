package flaxfield.jobs

import flaxfield.arrays.InitialPlacement
import flaxfield.controller.ControllerContext
import flaxfield.net.Responder
import flaxfield.store.StoreKeys
import org.slf4j.LoggerFactory

/**
 * Handles users' requests: submission, status and cancellation. No outcome is reported before it is committed, and each
 * request gets one response. Used by the owner thread only.
 *
 * @param placeInitialTasks places the tasks of a job while it is being submitted, or returns null if they must wait
 */
class JobRequestHandler(private val context: ControllerContext, placeInitialTasks: (Job) -> InitialPlacement?) {
    private val reader = JobReader(context)
    private val submitter = JobSubmitter(context, reader, placeInitialTasks, ::status)
    private val canceller = JobCanceller(context, reader)

    /** Accepts or rejects the job in [body]. A repeated submission of an accepted job gets the status of that job. */
    fun submit(body: ByteArray, responder: Responder) = submitter.submit(body, responder)

    /** Cancels the job with this [id]. A repeated cancellation gets the same response. */
    fun cancel(id: String, responder: Responder) = canceller.cancel(id, responder)

    /** Responds with the current status of the job with this [id]. */
    fun status(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return responder.send(JobResponse.UnknownJob)
        val finished = reader.findCached(id)
        if (finished != null) return responder.send(JobResponse.Finished(finished))
        reader.readCurrent(id, responder) { job ->
            when {
                job != null -> responder.send(JobResponse.Live(job))
                context.view.version(StoreKeys.JOB + id) != 0uL -> {
                    // The record exists but can't be decoded. The job was accepted, so it must not be reported as
                    // unknown.
                    log.error("event=job_record_unreadable job={}", id)
                    responder.send(JobResponse.Pending(id))
                }
                else -> reader.findFinished(id, responder, { responder.send(JobResponse.Finished(it)) }) {
                    responder.send(JobResponse.UnknownJob)
                }
            }
        }
    }

    /** Completes the reads whose revision the view has reached. */
    fun onViewAdvanced() = reader.onViewAdvanced()

    /** Sends pending reads that are due, and fails those that timed out. */
    fun tick() = reader.tick()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")
    }
}
