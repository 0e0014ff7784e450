package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.net.Responder
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Commits users' cancellations. The tasks of a cancelled job are halted by the machines' owners. */
internal class JobCanceller(private val context: ControllerContext, private val reader: JobReader) {
    /** Cancels the job with this [id], which may be unknown, over, or cancelled already. */
    fun cancel(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return responder.send(JobResponse.UnknownJob)
        val finished = reader.rememberedAsFinished(id)
        if (finished != null) return sendFinished(finished, responder)
        cancel(id, responder, MAX_TRIES)
    }

    private fun cancel(id: String, responder: Responder, tries: Int) {
        val job = context.view.jobs[id]
        when {
            job == null -> cancelIfLive(id, responder, tries)
            job.cancelled -> responder.send(JobResponse.Cancelled(id, aborted = true))
            tries <= 0 -> responder.send(JobResponse.Unavailable("the job changes too often"))
            context.transactions.isWritePending(StoreKeys.JOB + id) -> retry(id, responder, tries)
            else -> commit(job, responder, tries)
        }
    }

    /** The view has no such job: it may lag, or the job may be over. */
    private fun cancelIfLive(id: String, responder: Responder, tries: Int) =
        reader.readCurrent(id, responder) { current ->
            if (current != null) {
                cancel(id, responder, tries - 1)
            } else {
                reader.findFinished(id, responder, { sendFinished(it, responder) }) {
                    responder.send(JobResponse.UnknownJob)
                }
            }
        }

    /** Tries again on a view that shows the change that was in the way. */
    private fun retry(id: String, responder: Responder, tries: Int) =
        reader.readCurrent(id, responder) { cancel(id, responder, tries - 1) }

    private fun commit(job: Job, responder: Responder, tries: Int) {
        val sent = context.transactions.submit(WriteCause.CANCEL, transaction(job)) { outcome ->
            when (outcome) {
                is TransactionOutcome.Committed -> {
                    log.info("event=job_cancelled job={} placed={}", job.id, job.placedCount)
                    responder.send(JobResponse.Cancelled(job.id, aborted = true))
                }
                is TransactionOutcome.Conflict -> retry(job.id, responder, tries)
                is TransactionOutcome.Refused, is TransactionOutcome.Unknown ->
                    responder.send(JobResponse.Unavailable(STORE_SILENT))
            }
        }
        if (!sent) responder.send(JobResponse.Unavailable("too many requests"))
    }

    private fun transaction(job: Job): Transaction {
        val cancelled = job.copy(cancelledMs = context.nowMs)
        // A job of several chunks may get a placement in one of them just now: only placements after the cancellation
        // conflict with it, so its record must stay until that chunk is in the view.
        if (job.placedCount == 0 && job.spec.taskCount <= job.chunkTasks) {
            return JobTransactions.close(context, cancelled, aborted = true, fenced = false)
        }
        val key = StoreKeys.JOB + job.id
        return Transaction(mapOf(key to job.version), listOf(Change.Put(key, JobCodec.encodeHead(cancelled))))
    }

    private fun sendFinished(job: FinishedJob, responder: Responder) =
        responder.send(JobResponse.Cancelled(job.id, job.aborted))

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")
        const val MAX_TRIES = 6
    }
}
