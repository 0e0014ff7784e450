package flaxfield.jobs

import flaxfield.BYTES_PER_KIB
import flaxfield.arrays.InitialPlacement
import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerContext
import flaxfield.net.Responder
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Accepts users' jobs. A submission is idempotent by its job id: a repeat gets the accepted job's status.
 *
 * @param placeInitialTasks places the tasks of a job while it is being submitted, or returns null if they must wait
 * @param sendStatus responds with a job's status
 */
internal class JobSubmitter(
    private val context: ControllerContext,
    private val reader: JobReader,
    private val placeInitialTasks: (Job) -> InitialPlacement?,
    private val sendStatus: (String, Responder) -> Unit,
) {
    private val tasksPerChunk = JobTransactions.tasksPerChunk(context.settings.stateLimits)
    private val maxSpecBytes = context.settings.stateLimits.valueKb * BYTES_PER_KIB * SPEC_SHARE

    /** Handles one submission; [body] is the job in its wire form. */
    fun submit(body: ByteArray, responder: Responder) {
        val spec = try {
            JobCodec.decodeSpec(Cbor.decode(body))
        } catch (e: MalformedException) {
            log.info("event=submission_malformed reason=\"{}\"", e.message)
            return responder.send(JobResponse.Malformed(e.message ?: "malformed"))
        }
        if (TransactionSize.jsonBytes(JobCodec.encodeSpec(spec)) > maxSpecBytes) {
            return responder.send(JobResponse.Malformed("flavors is too long"))
        }
        val finished = reader.findCached(spec.id)
        if (finished != null) return responder.send(JobResponse.Finished(finished))
        if (context.view.jobs.containsKey(spec.id)) return sendStatus(spec.id, responder)
        if (context.view.machineTypes.isEmpty()) {
            return responder.send(JobResponse.Unavailable("machine types are not known yet"))
        }
        val rejection = JobAdmission.rejectionReason(
            spec,
            context.settings.teams,
            context.view.machineTypes,
            context.scheduling.gangSize,
        )
        if (rejection != null) return reject(spec, rejection, responder)
        if (context.storeContact.isUnreachable(context.settings.workers.leaseS)) {
            return responder.send(JobResponse.Unavailable(STORE_UNREACHABLE))
        }
        accept(newJob(spec), responder, mayPlace = true)
    }

    private fun newJob(spec: JobSpec) = Job(
        spec = spec,
        submittedMs = context.nowMs,
        cancelledMs = null,
        failedMachines = emptyList(),
        failureCount = 0,
        retryAtMs = 0,
        chunkTasks = tasksPerChunk,
        chunks = mapOf(0 to JobChunk.empty()),
        version = 0uL,
    )

    private fun accept(job: Job, responder: Responder, mayPlace: Boolean) {
        val key = StoreKeys.JOB + job.id
        if (context.transactions.isWritePending(key)) {
            return responder.send(JobResponse.Unavailable("a submission of this job is under way"))
        }
        if (!context.transactions.mayWrite(WriteCause.SUBMIT, 1)) return sendTooManySubmissions(responder)
        val initial = if (mayPlace) placeInitialTasks(job) else null
        val transaction = Transaction(
            initial?.conditions.orEmpty() + mapOf(key to 0uL, StoreKeys.FINISHED_JOB + job.id to 0uL),
            listOf(Change.Put(key, JobCodec.encodeHead(initial?.job ?: job))),
        )
        val sent = context.transactions.submit(WriteCause.SUBMIT, transaction) { outcome ->
            when (outcome) {
                is TransactionOutcome.Committed -> {
                    logAccepted(job.spec, initial?.job)
                    responder.send(JobResponse.Accepted(job.id))
                }
                // A machine or the assignment has changed, or the job exists already. A submission without
                // placements shows which.
                is TransactionOutcome.Conflict -> if (initial != null) {
                    accept(job, responder, mayPlace = false)
                } else {
                    sendStatus(job.id, responder)
                }
                is TransactionOutcome.Refused, is TransactionOutcome.Unknown ->
                    responder.send(JobResponse.Unavailable(STORE_UNREACHABLE))
            }
        }
        if (!sent) sendTooManySubmissions(responder)
    }

    private fun logAccepted(spec: JobSpec, placedJob: Job?) {
        log.info(
            "event=job_accepted job={} job_class={} team={} tasks={} image={} image_gb={} expected_runtime_s={}",
            spec.id,
            spec.jobClass,
            spec.team,
            spec.taskCount,
            spec.image,
            spec.imageGb,
            spec.expectedRuntimeS,
        )
        for (placement in placedJob?.allPlaced().orEmpty()) {
            log.info(
                "event=task_placed_at_submission term={} job={} task={} attempt={} machine={}",
                context.leadership.term(),
                spec.id,
                placement.index,
                placement.attempt,
                placement.machineName,
            )
        }
    }

    /** Rejects a job unless the store has it already: a repeat of an accepted submission must never be rejected. */
    private fun reject(spec: JobSpec, reason: String, responder: Responder) =
        reader.readCurrent(spec.id, responder) { job ->
            if (job != null) {
                responder.send(JobResponse.Live(job))
            } else {
                reader.findFinished(spec.id, responder, { responder.send(JobResponse.Finished(it)) }) {
                    log.info("event=job_rejected job={} reason=\"{}\"", spec.id, reason)
                    responder.send(JobResponse.Rejected(reason))
                }
            }
        }

    private fun sendTooManySubmissions(responder: Responder) =
        responder.send(JobResponse.Unavailable("too many submissions"))

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** The share of a value that the spec of a job may take. */
        const val SPEC_SHARE = 0.3
    }
}
