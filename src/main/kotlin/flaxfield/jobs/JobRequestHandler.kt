package flaxfield.jobs

import flaxfield.arrays.ArrayScheduler
import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.net.Body
import flaxfield.net.Reply
import flaxfield.node.Controller
import flaxfield.node.NodeContext
import flaxfield.settings.StateLimits
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Outcome
import flaxfield.store.Read
import flaxfield.store.Sizes
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** Users' requests: submit, status, cancel. Nothing is told before it is committed. */
class JobRequestHandler(private val hub: NodeContext, private val begin: (Job) -> ArrayScheduler.Begun?) {
    private class Waiter(val id: String, val reply: Reply, val sinceNs: Long, val then: (Job?) -> Unit) {
        /** The view must have reached this ledger; null until a read has told it. */
        var need: ULong? = null
    }

    private val finished = FinishedJobs(hub.operator.finishedCache.toLong())
    private val ended = FinishedJobLookup(hub, finished::remember)
    private val waiters = ArrayList<Waiter>()
    private var confirming = false
    private var nextConfirmNs = 0L
    private val chunkTasks = chunkTasks(hub.settings.stateLimits)

    fun submit(body: ByteArray, reply: Reply) {
        val spec = try {
            JobCodec.spec(Wire.decode(body))
        } catch (e: MalformedException) {
            log.info("submission refused: {}", e.message)
            return answer(reply, 400, mapOf("error" to (e.message ?: "malformed")))
        }
        if (Sizes.json(JobCodec.encodeSpec(spec)) > hub.settings.stateLimits.valueKb * KB * SPEC_SHARE) {
            return answer(reply, 400, mapOf("error" to "flavors is too long"))
        }
        val old = finished.find(spec.id)
        if (old != null) return answer(reply, 200, JobCodec.status(old))
        if (hub.world.jobs.containsKey(spec.id)) return status(spec.id, reply)
        if (hub.world.flavors.isEmpty()) return later(reply, "machine types are not known yet")
        val refusal = Validation.refuse(spec, hub.settings.teams, hub.world.flavors)
        if (refusal != null) return refused(spec, refusal, reply)
        if (stateSeemsAway()) return later(reply, "the state service does not answer")
        accept(Job(spec, hub.nowMs, null, emptyList(), 0, 0, chunkTasks, mapOf(0 to Chunk.empty()), 0uL), reply, mayBegin = true)
    }

    private fun accept(job: Job, reply: Reply, mayBegin: Boolean) {
        val spec = job.spec
        val key = StoreKeys.JOB + spec.id
        if (hub.isBusy(key)) return later(reply, "a submission of this job is under way")
        if (!hub.maySpend(Cause.SUBMIT, 1)) return later(reply, "too many submissions")
        val begun = if (mayBegin) begin(job) else null
        val txn = Txn(
            begun?.conditions.orEmpty() + mapOf(key to 0uL, StoreKeys.OVER + spec.id to 0uL),
            listOf(Change.Put(key, JobCodec.encodeHead(begun?.job ?: job))),
        )
        val sent = hub.commit(Cause.SUBMIT, txn) { outcome ->
            when (outcome) {
                is Outcome.Committed -> {
                    log.info(
                        "job={} class={} owner={} tasks={} bundle={} pull_gb={} expect_s={} accepted",
                        spec.id,
                        spec.jobClass,
                        spec.owner,
                        spec.shards,
                        spec.bundle,
                        spec.pullGb,
                        spec.expectS,
                    )
                    for (p in begun?.job?.allPlaced().orEmpty()) {
                        log.info("job={} task={} attempt={} host={} term={} placed as accepted", job.id, p.index, p.attempt, p.host, hub.term())
                    }
                    answer(reply, 201, mapOf("id" to spec.id, "phase" to "pending"))
                }
                // A machine or the assignment has changed meanwhile, or the job is known already: the plain record tells.
                is Outcome.Conflict -> if (begun != null) accept(job, reply, mayBegin = false) else status(spec.id, reply)
                else -> later(reply, "the state service does not answer")
            }
        }
        if (!sent) later(reply, "too many submissions")
    }

    /** A repeat of an accepted job must never get 422, so what would refuse it is checked against the store. */
    private fun refused(spec: JobSpec, refusal: String, reply: Reply) = confirmed(spec.id, reply) { job ->
        if (job != null) {
            answer(reply, 200, JobCodec.status(job))
        } else {
            over(spec.id, reply, { answer(reply, 200, JobCodec.status(it)) }) {
                log.info("job={} refused: {}", spec.id, refusal)
                answer(reply, 422, mapOf("error" to refusal))
            }
        }
    }

    fun status(id: String, reply: Reply) {
        if (!JobCodec.isId(id)) return answer(reply, 404, mapOf("error" to "no such job"))
        val old = finished.find(id)
        if (old != null) return answer(reply, 200, JobCodec.status(old))
        confirmed(id, reply) { job ->
            if (job != null) {
                answer(reply, 200, JobCodec.status(job))
            } else if (hub.world.stamp(StoreKeys.JOB + id) != 0uL) {
                // Its record is there and can't be read: accepted all the same, and never to be called unknown.
                log.error("job={} has a record that can't be read", id)
                answer(reply, 200, mapOf("id" to id, "phase" to "pending"))
            } else {
                over(id, reply, { answer(reply, 200, JobCodec.status(it)) }) {
                    answer(reply, 404, mapOf("error" to "no such job"))
                }
            }
        }
    }

    fun cancel(id: String, reply: Reply) {
        if (!JobCodec.isId(id)) return answer(reply, 404, mapOf("error" to "no such job"))
        val old = finished.find(id)
        if (old != null) return cancelAnswer(old, reply)
        cancel(id, reply, CANCEL_TRIES)
    }

    private fun cancel(id: String, reply: Reply, tries: Int) {
        val job = hub.world.jobs[id]
        if (job != null && job.cancelled) return answer(reply, 200, mapOf("id" to id, "phase" to "aborted"))
        if (job == null) {
            return confirmed(id, reply) { now ->
                if (now != null) {
                    cancel(id, reply, tries - 1)
                } else {
                    over(id, reply, { cancelAnswer(it, reply) }) { answer(reply, 404, mapOf("error" to "no such job")) }
                }
            }
        }
        if (tries <= 0) return later(reply, "the job changes too often")
        val key = StoreKeys.JOB + id
        if (hub.isBusy(key)) return confirmed(id, reply) { cancel(id, reply, tries - 1) }
        val cancelled = job.copy(cancelledMs = hub.nowMs)
        // Of a job with several chunks a placement may just be committed in one: only those after the cancellation fail.
        val txn = if (job.placedCount == 0 && job.spec.shards <= job.chunkTasks) {
            TaskCompletion.over(hub, cancelled, aborted = true, fenced = false)
        } else {
            Txn(mapOf(key to job.stamp), listOf(Change.Put(key, JobCodec.encodeHead(cancelled))))
        }
        val sent = hub.commit(Cause.CANCEL, txn) { outcome ->
            when (outcome) {
                is Outcome.Committed -> {
                    log.info("job={} cancelled by its user, {} tasks placed", id, job.placedCount)
                    answer(reply, 200, mapOf("id" to id, "phase" to "aborted"))
                }
                is Outcome.Conflict -> confirmed(id, reply) { cancel(id, reply, tries - 1) }
                else -> later(reply, "the state service does not answer")
            }
        }
        if (!sent) later(reply, "too many requests")
    }

    private fun cancelAnswer(f: Finished, reply: Reply) =
        answer(reply, 200, mapOf("id" to f.id, "phase" to if (f.aborted) "aborted" else "done"))

    /** Looks for a finished job in the store. */
    private fun over(id: String, reply: Reply, found: (Finished) -> Unit, absent: () -> Unit) = ended.ask(id) { e ->
        when (e) {
            is Ended.Known -> found(e.job)
            is Ended.Absent -> absent()
            is Ended.Unclear -> later(reply, "not found out in time")
        }
    }

    /** Runs [then] once the view is surely as new as this moment; answers 503 if that can't be had in time. */
    private fun confirmed(id: String, reply: Reply, then: (Job?) -> Unit) {
        if (stateSeemsAway()) return later(reply, "the state service does not answer")
        if (waiters.size >= MOST_WAITERS) return later(reply, "too many requests")
        waiters += Waiter(id, reply, hub.nowNs, then)
        confirmSoon()
    }

    /** One read of the current ledger serves all who asked before it was sent. */
    private fun confirmSoon() {
        val now = hub.nowNs
        if (confirming || now < nextConfirmNs || waiters.none { it.need == null }) return
        if (!hub.budget.take(Cause.READ, 0, now)) return
        confirming = true
        nextConfirmNs = now + confirmGapNs
        val asked = waiters.filter { it.need == null }
        hub.store.get(StoreKeys.NOTHING) { read ->
            hub.post {
                confirming = false
                if (read is Read.Absent) {
                    hub.stateOk()
                    hub.knowledge.read(now, read.ledger)
                    hub.knowledge.reached(hub.world.ledger)
                    for (w in asked) w.need = read.ledger
                    viewMoved()
                } else {
                    // Some have been given up on meanwhile: a second answer on a kept connection was taken for the next
                    // request's, and each later one came one request late.
                    val open = asked.filterTo(HashSet()) { it in waiters }
                    waiters.removeAll(open)
                    for (w in open) later(w.reply, "the state service does not answer")
                }
                confirmSoon()
            }
        }
    }

    /** Answers those whose ledger the view has reached. */
    fun viewMoved() {
        if (waiters.isEmpty()) return
        val ready = waiters.filter { w -> w.need?.let { it <= hub.world.ledger } ?: false }
        if (ready.isEmpty()) return
        waiters.removeAll(ready.toSet())
        for (w in ready) w.then(hub.world.jobs[w.id])
    }

    fun tick() {
        ended.run()
        if (waiters.isEmpty()) return
        val late = waiters.filter { hub.nowNs - it.sinceNs > CONFIRM_MS * NS_PER_MS }
        if (late.isNotEmpty()) {
            waiters.removeAll(late.toSet())
            for (w in late) later(w.reply, "the view lags")
        }
        confirmSoon()
    }

    /** Kept fresh by renewals: several of them in a row without an answer mean an outage or being refused. */
    private fun stateSeemsAway(): Boolean = hub.nowNs - hub.stateOkNs > hub.settings.workers.leaseS * AWAY_SHARE * NS_PER_S

    private fun later(reply: Reply, why: String) = reply.send(503, encode(mapOf("error" to why)), RETRY_AFTER_S)

    private fun answer(reply: Reply, status: Int, map: Map<String, Any?>) = reply.send(status, encode(map), null)

    private fun encode(map: Map<String, Any?>) = Body(Wire.encode(map), Body.CBOR)

    /**
     * Reads for polls take at most this share of the node's part of the state service's rate. Nor need they come
     * much more often than the view moves on: one read serves all who asked before it.
     */
    private val confirmGapNs = maxOf(
        (NS_PER_S / (hub.settings.stateLimits.rps * CONFIRM_SHARE / hub.settings.size)).toLong(),
        CONFIRM_DECISIONS * Controller.DECIDE_GAP_MS * NS_PER_MS,
    )

    companion object {
        /** How many tasks' records share a value; the first chunk shares it with the job itself. */
        fun chunkTasks(limits: StateLimits): Int = (limits.valueKb * KB * CHUNK_SHARE / RECORD_BYTES).toInt().coerceAtLeast(1)

        private val log = LoggerFactory.getLogger("flaxfield.jobs")
        private const val KB = 1024

        /** Half a value for placed tasks; the rest is for the job itself, done ranges and growth. */
        private const val CHUNK_SHARE = 0.5

        /** What the job as submitted may take of its value. */
        private const val SPEC_SHARE = 0.3

        /** A placed task's record as the store counts it: index, attempt, host, tenure, flag. */
        private const val RECORD_BYTES = 40
        private const val CANCEL_TRIES = 6
        private const val MOST_WAITERS = 512

        /** Users wait 2 s for a poll's answer. */
        private const val CONFIRM_MS = 1_500
        private const val CONFIRM_SHARE = 0.15
        private const val CONFIRM_DECISIONS = 2
        private const val AWAY_SHARE = 0.25
        private const val RETRY_AFTER_S = 1
        private const val NS_PER_MS = 1_000_000L
        private const val NS_PER_S = 1e9
    }
}
