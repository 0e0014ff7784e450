package flaxfield.sim

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources

/** Excess load, failing jobs and invalid requests, in addition to the jobs of [users]. */
class UserLoad(private val cluster: SimCluster, private val schedule: FaultSchedule, private val users: List<SimUser>) {
    private val random = cluster.loop.random

    fun multiplyReads() = schedule.during(30.0, 60.0) { cluster.readLoadFactor = if (it) 10 else 1 }

    /** Submits jobs that fail on every machine, both on machines that run healthy jobs and on new ones. */
    fun submitFailingJobs() {
        for (n in 0 until 3) {
            val spec = cluster.job(failingJob(n))
            cluster.invariants.failingJobs += spec.id
            schedule.at(12.0 + 9 * n) { SimUser(cluster, spec, cancelsAfterS = 60.0).submit() }
        }
    }

    private fun failingJob(n: Int): JobSpec {
        val isGang = n == 1
        return Samples.spec(
            id = "job-5$n",
            jobKind = if (isGang) JobKind.GANG else JobKind.ARRAY,
            taskCount = intArrayOf(40, 3, 1)[n],
            team = if (n == 0) "red" else "blue",
            priority = if (isGang) Priority.HIGH else Priority.IDLE,
            preemptible = !isGang,
            taskResources = if (isGang) Resources(12.0, 3.0, 40.0) else Resources(4.0, 1.0, 16.0),
            jobClass = "broken",
        ).copy(expectedRuntimeS = 6.0)
    }

    fun submitManySmallJobs() {
        for (n in 0 until 240) {
            val spec = Samples.spec(
                id = "job-7$n",
                taskCount = 1,
                team = if (n % 5 == 0) "red" else "blue",
                taskResources = Resources(0.5, 0.0, 2.0),
                jobClass = "swarm",
            ).copy(expectedRuntimeS = 3.0 + n % 7)
            val user = SimUser(cluster, cluster.job(spec), cancelsAfterS = if (n % 4 == 0) 0.2 + n % 6 else null)
            schedule.at(20.0 + 0.25 * n) { user.submit() }
        }
    }

    fun sendInvalidRequests() {
        for (n in 0 until 40) schedule.at(15.0 + 2.3 * n) { sendInvalidRequest(n) }
    }

    /**
     * Sends an invalid request or repeats a valid one, and cancels an unknown job. The invariant checker checks the
     * response statuses.
     */
    private fun sendInvalidRequest(n: Int) {
        val valid: Map<String, Any?> = JobCodec.encodeSpec(Samples.spec(id = "job-8$n", team = "blue"))
        val field = REQUIRED_FIELDS[n % REQUIRED_FIELDS.size]
        val controller = random.nextInt(cluster.controllerNames.size)
        when (n % 5) {
            0 -> submitInvalid(controller, "submission without $field", Cbor.encode(valid - field), BAD_REQUEST)
            1 -> submitInvalid(controller, "submission that is not CBOR", byteArrayOf(0x1f, 0x22), BAD_REQUEST)
            2 -> submitInvalid(controller, "submission that fits no machine", Cbor.encode(valid + ("vcpus" to 1e6)), UNPROCESSABLE)
            3 -> submitInvalid(controller, "submission of an unknown team", Cbor.encode(valid + ("owner" to "nobody")), UNPROCESSABLE)
            else -> users.randomOrNull(random)?.apply {
                resubmit()
                cancelFinished()
            }
        }
        post(controller, "/work/job-8$n/cancel", ByteArray(0), "cancellation of an unknown job", NOT_FOUND)
    }

    private fun submitInvalid(controller: Int, label: String, body: ByteArray, status: Int) = post(controller, "/work", body, label, status)

    /**
     * Sends a request that must be answered with [status]. 429 and 503 are allowed too, since the controller may be
     * overloaded or unable to decide yet.
     */
    private fun post(controller: Int, path: String, body: ByteArray, label: String, status: Int) =
        cluster.sendUserRequest(controller, "POST", path, body) { answer ->
            if (answer != null) {
                val allowed = setOf(status, TOO_MANY_REQUESTS, UNAVAILABLE)
                cluster.invariants.invalidRequestAnswered(label, answer.status, allowed)
            }
        }

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNPROCESSABLE = 422
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503

        /** The wire names of the required fields of a submission. */
        val REQUIRED_FIELDS = listOf(
            "id", "jobclass", "owner", "shape", "urgency", "shards", "vcpus", "accelerators",
            "ram_gb", "same_place", "scatter", "lendable", "bundle", "pull_gb", "expect_s", "snapshot_every_s",
            "snapshot_s",
        )
    }
}
