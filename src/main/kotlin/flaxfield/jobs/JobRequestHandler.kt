package flaxfield.jobs

import flaxfield.BYTES_PER_KIB
import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.InitialPlacement
import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.controller.Controller
import flaxfield.controller.ControllerContext
import flaxfield.net.Body
import flaxfield.net.Responder
import flaxfield.store.Change
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Users' requests: submit, status, cancel. Nothing is told before it is committed. */
class JobRequestHandler(private val context: ControllerContext, private val begin: (Job) -> InitialPlacement?) {
    private class Waiter(val id: String, val responder: Responder, val sinceNs: Long, val then: (Job?) -> Unit) {
        /** The view must have reached this revision; null until a read has told it. */
        var taskResources: ULong? = null
    }

    private val finished = FinishedJobs(context.operator.finishedCache.toLong())
    private val ended = FinishedJobLookup(context, finished::remember)
    private val waiters = ArrayList<Waiter>()
    private var confirming = false
    private var nextConfirmNs = 0L
    private val chunkTasks = JobTransactions.tasksPerChunk(context.settings.stateLimits)

    fun submit(body: ByteArray, responder: Responder) {
        val spec = try {
            JobCodec.spec(Cbor.decode(body))
        } catch (e: MalformedException) {
            log.info("submission refused: {}", e.message)
            return answer(responder, 400, mapOf("error" to (e.message ?: "malformed")))
        }
        if (TransactionSize.json(JobCodec.encodeSpec(spec)) >
            context.settings.stateLimits.valueKb * BYTES_PER_KIB * SPEC_SHARE
        ) {
            return answer(responder, 400, mapOf("error" to "flavors is too long"))
        }
        val old = finished.find(spec.id)
        if (old != null) return answer(responder, 200, JobCodec.status(old))
        if (context.view.jobs.containsKey(spec.id)) return status(spec.id, responder)
        if (context.view.machineTypes.isEmpty()) return later(responder, "machine types are not known yet")
        val refusal = JobAdmission.refuse(spec, context.settings.teams, context.view.machineTypes)
        if (refusal != null) return refused(spec, refusal, responder)
        if (stateSeemsAway()) return later(responder, "the state service does not answer")
        accept(
            Job(spec, context.nowMs, null, emptyList(), 0, 0, chunkTasks, mapOf(0 to JobChunk.empty()), 0uL),
            responder,
            mayBegin = true,
        )
    }

    private fun accept(job: Job, responder: Responder, mayBegin: Boolean) {
        val spec = job.spec
        val key = StoreKeys.JOB + spec.id
        if (context.transactions.isWritePending(key)) return later(responder, "a submission of this job is under way")
        if (!context.transactions.mayWrite(WriteCause.SUBMIT, 1)) return later(responder, "too many submissions")
        val begun = if (mayBegin) begin(job) else null
        val txn = Transaction(
            begun?.conditions.orEmpty() + mapOf(key to 0uL, StoreKeys.FINISHED_JOB + spec.id to 0uL),
            listOf(Change.Put(key, JobCodec.encodeHead(begun?.job ?: job))),
        )
        val sent = context.transactions.submit(WriteCause.SUBMIT, txn) { outcome ->
            when (outcome) {
                is TransactionOutcome.Committed -> {
                    log.info(
                        "job={} class={} owner={} tasks={} image={} pull_gb={} expect_s={} accepted",
                        spec.id,
                        spec.jobClass,
                        spec.team,
                        spec.taskCount,
                        spec.image,
                        spec.imageGb,
                        spec.expectedRuntimeS,
                    )
                    for (p in begun?.job?.allPlaced().orEmpty()) {
                        log.info(
                            "job={} task={} attempt={} machine={} term={} placed as accepted",
                            job.id,
                            p.index,
                            p.attempt,
                            p.machineName,
                            context.leadership.term(),
                        )
                    }
                    answer(responder, 201, mapOf("id" to spec.id, "phase" to "pending"))
                }
                // A machine or the assignment has changed meanwhile, or the job is known already: the plain record
                // tells.
                is TransactionOutcome.Conflict -> if (begun !=
                    null
                ) {
                    accept(job, responder, mayBegin = false)
                } else {
                    status(spec.id, responder)
                }
                else -> later(responder, "the state service does not answer")
            }
        }
        if (!sent) later(responder, "too many submissions")
    }

    /** A repeat of an accepted job must never get 422, so what would refuse it is checked against the store. */
    private fun refused(spec: JobSpec, refusal: String, responder: Responder) = confirmed(spec.id, responder) { job ->
        if (job != null) {
            answer(responder, 200, JobCodec.status(job))
        } else {
            over(spec.id, responder, { answer(responder, 200, JobCodec.status(it)) }) {
                log.info("job={} refused: {}", spec.id, refusal)
                answer(responder, 422, mapOf("error" to refusal))
            }
        }
    }

    fun status(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return answer(responder, 404, mapOf("error" to "no such job"))
        val old = finished.find(id)
        if (old != null) return answer(responder, 200, JobCodec.status(old))
        confirmed(id, responder) { job ->
            if (job != null) {
                answer(responder, 200, JobCodec.status(job))
            } else if (context.view.version(StoreKeys.JOB + id) != 0uL) {
                // Its record is there and can't be read: accepted all the same, and never to be called unknown.
                log.error("job={} has a record that can't be read", id)
                answer(responder, 200, mapOf("id" to id, "phase" to "pending"))
            } else {
                over(id, responder, { answer(responder, 200, JobCodec.status(it)) }) {
                    answer(responder, 404, mapOf("error" to "no such job"))
                }
            }
        }
    }

    fun cancel(id: String, responder: Responder) {
        if (!JobCodec.isId(id)) return answer(responder, 404, mapOf("error" to "no such job"))
        val old = finished.find(id)
        if (old != null) return cancelAnswer(old, responder)
        cancel(id, responder, CANCEL_TRIES)
    }

    private fun cancel(id: String, responder: Responder, tries: Int) {
        val job = context.view.jobs[id]
        if (job != null && job.cancelled) return answer(responder, 200, mapOf("id" to id, "phase" to "aborted"))
        if (job == null) {
            return confirmed(id, responder) { now ->
                if (now != null) {
                    cancel(id, responder, tries - 1)
                } else {
                    over(id, responder, { cancelAnswer(it, responder) }) {
                        answer(
                            responder,
                            404,
                            mapOf(
                                "error" to "no such job",
                            ),
                        )
                    }
                }
            }
        }
        if (tries <= 0) return later(responder, "the job changes too often")
        val key = StoreKeys.JOB + id
        if (context.transactions.isWritePending(key)) {
            return confirmed(id, responder) {
                cancel(id, responder, tries - 1)
            }
        }
        val cancelled = job.copy(cancelledMs = context.nowMs)
        // Of a job with several chunks a placement may just be committed in one: only those after the cancellation
        // fail.
        val txn = if (job.placedCount == 0 && job.spec.taskCount <= job.chunkTasks) {
            JobTransactions.close(context, cancelled, aborted = true, fenced = false)
        } else {
            Transaction(mapOf(key to job.version), listOf(Change.Put(key, JobCodec.encodeHead(cancelled))))
        }
        val sent = context.transactions.submit(WriteCause.CANCEL, txn) { outcome ->
            when (outcome) {
                is TransactionOutcome.Committed -> {
                    log.info("job={} cancelled by its user, {} tasks placed", id, job.placedCount)
                    answer(responder, 200, mapOf("id" to id, "phase" to "aborted"))
                }
                is TransactionOutcome.Conflict -> confirmed(id, responder) { cancel(id, responder, tries - 1) }
                else -> later(responder, "the state service does not answer")
            }
        }
        if (!sent) later(responder, "too many requests")
    }

    private fun cancelAnswer(f: FinishedJob, responder: Responder) =
        answer(responder, 200, mapOf("id" to f.id, "phase" to if (f.aborted) "aborted" else "done"))

    /** Looks for a finished job in the store. */
    private fun over(id: String, responder: Responder, found: (FinishedJob) -> Unit, absent: () -> Unit) =
        ended.ask(id) { e ->
            when (e) {
                is FinishedJobResult.Known -> found(e.job)
                is FinishedJobResult.Absent -> absent()
                is FinishedJobResult.Unclear -> later(responder, "not found out in time")
            }
        }

    /** Runs [then] once the view is surely as new as this moment; answers 503 if that can't be had in time. */
    private fun confirmed(id: String, responder: Responder, then: (Job?) -> Unit) {
        if (stateSeemsAway()) return later(responder, "the state service does not answer")
        if (waiters.size >= MAX_WAITERS) return later(responder, "too many requests")
        waiters += Waiter(id, responder, context.nowNs, then)
        confirmSoon()
    }

    /** One read of the current revision serves all who asked before it was sent. */
    private fun confirmSoon() {
        val now = context.nowNs
        if (confirming || now < nextConfirmNs || waiters.none { it.taskResources == null }) return
        if (!context.transactions.budget.take(WriteCause.READ, 0, now)) return
        confirming = true
        nextConfirmNs = now + confirmGapNs
        val asked = waiters.filter { it.taskResources == null }
        context.store.get(StoreKeys.REVISION_PROBE) { read ->
            context.post {
                confirming = false
                if (read is ReadResult.Absent) {
                    context.storeContact.noteResponse()
                    context.viewFreshness.read(now, read.revision)
                    context.viewFreshness.reached(context.view.revision)
                    for (w in asked) w.taskResources = read.revision
                    onViewAdvanced()
                } else {
                    // Some have been given up on meanwhile: a second answer on a kept connection was taken for the next
                    // request's, and each later one came one request late.
                    val open = asked.filterTo(HashSet()) { it in waiters }
                    waiters.removeAll(open)
                    for (w in open) later(w.responder, "the state service does not answer")
                }
                confirmSoon()
            }
        }
    }

    /** Answers those whose revision the view has reached. */
    fun onViewAdvanced() {
        if (waiters.isEmpty()) return
        val ready = waiters.filter { w -> w.taskResources?.let { it <= context.view.revision } ?: false }
        if (ready.isEmpty()) return
        waiters.removeAll(ready.toSet())
        for (w in ready) w.then(context.view.jobs[w.id])
    }

    fun tick() {
        ended.run()
        if (waiters.isEmpty()) return
        val late = waiters.filter { context.nowNs - it.sinceNs > CONFIRM_MS * NANOS_PER_MILLI }
        if (late.isNotEmpty()) {
            waiters.removeAll(late.toSet())
            for (w in late) later(w.responder, "the view lags")
        }
        confirmSoon()
    }

    /** Kept fresh by renewals: several of them in a row without an answer mean an outage or being refused. */
    private fun stateSeemsAway(): Boolean =
        context.storeContact.silenceNs() > context.settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND

    private fun later(responder: Responder, why: String) =
        responder.send(503, encode(mapOf("error" to why)), RETRY_AFTER_S)

    private fun answer(responder: Responder, status: Int, map: Map<String, Any?>) =
        responder.send(status, encode(map), null)

    private fun encode(map: Map<String, Any?>) = Body(Cbor.encode(map), Body.CBOR)

    /**
     * Reads for polls take at most this share of the node's part of the state service's rate. Nor need they come
     * much more often than the view moves on: one read serves all who asked before it.
     */
    private val confirmGapNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * CONFIRM_SHARE / context.settings.size)).toLong(),
        CONFIRM_DECISIONS * Controller.DECIDE_GAP_MS * NANOS_PER_MILLI,
    )

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** What the job as submitted may take of its value. */
        private const val SPEC_SHARE = 0.3

        private const val CANCEL_TRIES = 6
        private const val MAX_WAITERS = 512

        /** Users wait 2 s for a poll's answer. */
        private const val CONFIRM_MS = 1_500
        private const val CONFIRM_SHARE = 0.15
        private const val CONFIRM_DECISIONS = 2
        private const val AWAY_SHARE = 0.25
        private const val RETRY_AFTER_S = 1
    }
}
