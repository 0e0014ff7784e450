package flaxfield.jobs

import flaxfield.controller.ControllerContext
import flaxfield.net.Responder
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Commits users' cancellations. The controllers that own the machines then halt the job's tasks. */
internal class JobCanceller(private val context: ControllerContext, private val reader: JobReader) {
    /** Cancels the job with this [id], which may be unknown, finished or already cancelled. */
    fun cancel(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return responder.send(JobResponse.UnknownJob)
        val finished = reader.findCached(id)
        if (finished != null) return sendFinished(finished, responder)
        cancel(id, responder, MAX_TRIES)
    }

    private fun cancel(id: String, responder: Responder, triesLeft: Int) {
        val job = context.view.jobs[id]
        when {
            job == null -> cancelIfLive(id, responder, triesLeft)
            job.cancelled -> responder.send(JobResponse.Cancelled(id, aborted = true))
            triesLeft <= 0 -> responder.send(JobResponse.Unavailable("the job changes too often"))
            context.transactions.isWritePending(StoreKeys.JOB + id) -> retry(id, responder, triesLeft)
            else -> commit(job, responder, triesLeft)
        }
    }

    /** Handles a job that is not in the view: the view may lag, or the job may be finished. */
    private fun cancelIfLive(id: String, responder: Responder, triesLeft: Int) =
        reader.readCurrent(id, responder) { current ->
            if (current != null) {
                cancel(id, responder, triesLeft - 1)
            } else {
                reader.findFinished(id, responder, { sendFinished(it, responder) }) {
                    responder.send(JobResponse.UnknownJob)
                }
            }
        }

    /** Tries again once the view shows the conflicting change. */
    private fun retry(id: String, responder: Responder, triesLeft: Int) =
        reader.readCurrent(id, responder) { cancel(id, responder, triesLeft - 1) }

    private fun commit(job: Job, responder: Responder, triesLeft: Int) {
        val sent = context.transactions.submit(WriteCause.CANCEL, transaction(job)) { outcome ->
            when (outcome) {
                is TransactionOutcome.Committed -> {
                    log.info("event=job_cancelled job={} placed={}", job.id, job.placedCount)
                    responder.send(JobResponse.Cancelled(job.id, aborted = true))
                }
                is TransactionOutcome.Conflict -> retry(job.id, responder, triesLeft)
                is TransactionOutcome.Refused, is TransactionOutcome.Unknown ->
                    responder.send(JobResponse.Unavailable(STORE_UNREACHABLE))
            }
        }
        if (!sent) responder.send(JobResponse.Unavailable("too many requests"))
    }

    private fun transaction(job: Job): Transaction {
        val cancelled = job.copy(cancelledMs = context.nowMs)
        // Another controller may be placing a task in a further chunk of the job. Only placements that commit after the
        // cancellation conflict with it, so the record must stay until that chunk is in the view.
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
