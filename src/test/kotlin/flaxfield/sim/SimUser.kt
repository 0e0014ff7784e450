package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobSpec
import flaxfield.net.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * One user with one job: submits it until it is accepted, asks for it all day, and may cancel it. Tells the invariant
 * checker of every answer.
 */
class SimUser(private val cluster: SimCluster, val spec: JobSpec, private val cancelsAfterS: Double? = null) {
    private val loop = cluster.loop
    private val invariants = cluster.invariants
    private val body = Cbor.encode(JobCodec.encodeSpec(spec))
    private val path = "/work/${spec.id}"
    private var polls = false
    private var cancelling = false

    private fun randomController() = loop.random.nextInt(cluster.controllerNames.size)

    private fun reportedPhase() = invariants.reportedPhase(spec.id)

    /** Submits the job, again each second until it is accepted. */
    fun submit() {
        val before = reportedPhase()
        cluster.user(randomController(), "POST", "/work", body) { answer ->
            if (answer != null && (answer.status == CREATED || answer.status == OK)) {
                answered(answer, before)
                if (!polls) beginPolling()
            } else {
                if (answer != null) assertTrue(answer.status in TRY_LATER, "submission got ${answer.status}")
                loop.after(SimLoop.SECOND, ::submit)
            }
        }
    }

    private fun beginPolling() {
        polls = true
        poll()
        if (cancelsAfterS != null) loop.after((cancelsAfterS * SimLoop.SECOND).toLong(), ::cancel)
    }

    /** Asks to cancel the job, again each second until that is answered. */
    fun cancel() {
        if (cancelling) return
        cancelling = true
        requestCancellation()
    }

    private fun requestCancellation() {
        invariants.cancelRequested(spec.id)
        val before = reportedPhase()
        cluster.user(randomController(), "POST", "$path/cancel", ByteArray(0)) { answer ->
            if (answer?.status == OK) {
                answered(answer, before)
            } else {
                if (answer != null) {
                    assertTrue(answer.status in TRY_LATER, "cancellation of an accepted job got ${answer.status}")
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
        cluster.user(controller, "GET", path, ByteArray(0)) { answer ->
            if (answer?.status == OK) answered(answer, before)
            if (answer?.status == NOT_FOUND) invariants.jobAnswered(spec.id, null, loop.nowS, before)
        }
    }

    private fun readUnknownJob() {
        val id = "job-9" + loop.random.nextInt(1_000)
        cluster.user(randomController(), "GET", "/work/$id", ByteArray(0)) { answer ->
            if (answer?.status == OK) invariants.jobAnswered(id, phase(answer), loop.nowS)
        }
    }

    /** What an answer says; on a first or final phase all controllers may be asked at once. */
    private fun answered(answer: Response, before: String?) {
        val phase = phase(answer)
        val isNew = reportedPhase() != phase
        invariants.jobAnswered(spec.id, phase, loop.nowS, before)
        val isFirstOrFinal = before == null || phase in InvariantChecker.FINAL_PHASES
        if (cluster.immediateReads && isNew && isFirstOrFinal) {
            readEverywhere(cancels = before == null && spec.id.hashCode() % 3 == 0)
        }
    }

    /** Reads and resubmits at all controllers, several times within milliseconds; some users cancel at once. */
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

    /** A repeat of an accepted submission: 200 with what the job is now, or come again later; never a refusal. */
    fun resubmit(controller: Int = randomController()) {
        val before = reportedPhase() ?: return
        cluster.user(controller, "POST", "/work", body) { answer ->
            if (answer == null || answer.status in TRY_LATER) return@user
            if (answer.status == OK) {
                answered(answer, before)
            } else {
                invariants.jobAnswered(spec.id, null, loop.nowS, before)
            }
        }
    }

    /** Asks to cancel a job whose user was told a final phase: the answer is that phase. */
    fun cancelFinished() {
        val before = reportedPhase()
        if (before !in InvariantChecker.FINAL_PHASES) return
        cluster.user(randomController(), "POST", "$path/cancel", ByteArray(0)) { answer ->
            if (answer?.status == OK) assertEquals(before, phase(answer), "cancelling ${spec.id}, which is over")
        }
    }

    private fun phase(answer: Response): String = Cbor.decode(answer.body).requireText("phase")

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val NOT_FOUND = 404

        /** Answers after which a user may ask again later: overload, or a controller that can't decide yet. */
        val TRY_LATER = setOf(429, 503)
        val READ_EVERYWHERE_AFTER_MS = longArrayOf(0, 1, 3, 7, 20, 60, 200)
    }
}
