package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobSpec
import flaxfield.net.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * A user with one job: retries its submission until it is accepted, then polls it and may cancel it. Reports every
 * response to the invariant checker.
 */
class SimUser(private val cluster: SimCluster, val spec: JobSpec, private val cancelsAfterS: Double? = null) {
    private val loop = cluster.loop
    private val invariants = cluster.invariants
    private val body = Cbor.encode(JobCodec.encodeSpec(spec))
    private val path = "/work/${spec.id}"
    private var isPolling = false
    private var isCancelling = false

    private fun randomController() = loop.random.nextInt(cluster.controllerNames.size)

    private fun reportedPhase() = invariants.reportedPhase(spec.id)

    /** Submits the job, and retries each second until it is accepted. */
    fun submit() {
        val before = reportedPhase()
        cluster.sendUserRequest(randomController(), "POST", "/work", body) { answer ->
            if (answer != null && (answer.status == CREATED || answer.status == OK)) {
                recordAnswer(answer, before)
                if (!isPolling) startPolling()
            } else {
                if (answer != null) assertTrue(answer.status in RETRYABLE_STATUSES, "submission got ${answer.status}")
                loop.after(SimLoop.SECOND, ::submit)
            }
        }
    }

    private fun startPolling() {
        isPolling = true
        poll()
        if (cancelsAfterS != null) loop.after((cancelsAfterS * SimLoop.SECOND).toLong(), ::cancel)
    }

    /** Cancels the job, and retries each second until the cancellation is confirmed. */
    fun cancel() {
        if (isCancelling) return
        isCancelling = true
        requestCancellation()
    }

    private fun requestCancellation() {
        invariants.cancelRequested(spec.id)
        val before = reportedPhase()
        cluster.sendUserRequest(randomController(), "POST", "$path/cancel", ByteArray(0)) { answer ->
            if (answer?.status == OK) {
                recordAnswer(answer, before)
            } else {
                if (answer != null) {
                    assertTrue(answer.status in RETRYABLE_STATUSES, "cancellation of an accepted job got ${answer.status}")
                }
                loop.after(SimLoop.SECOND, ::requestCancellation)
            }
        }
    }

    private fun poll() {
        read(randomController())
        loop.after(2 * SimLoop.SECOND / cluster.readLoadFactor, ::poll)
        if (cluster.readLoadFactor > 1) readUnknownJob()
    }

    private fun read(controller: Int) {
        val before = reportedPhase()
        cluster.sendUserRequest(controller, "GET", path, ByteArray(0)) { answer ->
            if (answer?.status == OK) recordAnswer(answer, before)
            if (answer?.status == NOT_FOUND) invariants.jobAnswered(spec.id, null, loop.nowS, before)
        }
    }

    private fun readUnknownJob() {
        val id = "job-9" + loop.random.nextInt(1_000)
        cluster.sendUserRequest(randomController(), "GET", "/work/$id", ByteArray(0)) { answer ->
            if (answer?.status == OK) invariants.jobAnswered(id, phase(answer), loop.nowS)
        }
    }

    /** Records the phase in [answer]. With immediate reads, reads all controllers after the first and the final phase. */
    private fun recordAnswer(answer: Response, before: String?) {
        val phase = phase(answer)
        val isNew = reportedPhase() != phase
        invariants.jobAnswered(spec.id, phase, loop.nowS, before)
        val isFirstOrFinal = before == null || phase in InvariantChecker.FINAL_PHASES
        if (cluster.immediateReads && isNew && isFirstOrFinal) {
            readEverywhere(cancels = before == null && spec.id.hashCode() % 3 == 0)
        }
    }

    /** Reads and resubmits at all controllers, several times within 200 ms; cancels almost immediately if [cancels]. */
    private fun readEverywhere(cancels: Boolean) {
        for (ms in READ_EVERYWHERE_AFTER_MS) {
            loop.after(ms * SimLoop.MS) {
                for (controller in cluster.controllerNames.indices) {
                    read(controller)
                    resubmit(controller)
                }
            }
        }
        if (cancels) loop.after(2 * SimLoop.MS, ::cancel)
    }

    /** Repeats an accepted submission, which must get 200 with the current phase, or 429 or 503. */
    fun resubmit(controller: Int = randomController()) {
        val before = reportedPhase() ?: return
        cluster.sendUserRequest(controller, "POST", "/work", body) { answer ->
            if (answer == null || answer.status in RETRYABLE_STATUSES) return@sendUserRequest
            if (answer.status == OK) {
                recordAnswer(answer, before)
            } else {
                invariants.jobAnswered(spec.id, null, loop.nowS, before)
            }
        }
    }

    /** Cancels a job that was reported in a final phase; the response must hold that phase. */
    fun cancelFinished() {
        val before = reportedPhase()
        if (before !in InvariantChecker.FINAL_PHASES) return
        cluster.sendUserRequest(randomController(), "POST", "$path/cancel", ByteArray(0)) { answer ->
            if (answer?.status == OK) assertEquals(before, phase(answer), "cancellation of finished ${spec.id}")
        }
    }

    private fun phase(answer: Response): String = Cbor.decode(answer.body).requireText("phase")

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val NOT_FOUND = 404

        /** Statuses after which users retry: the controller is overloaded or cannot decide yet. */
        val RETRYABLE_STATUSES = setOf(429, 503)
        val READ_EVERYWHERE_AFTER_MS = longArrayOf(0, 1, 3, 7, 20, 60, 200)
    }
}
