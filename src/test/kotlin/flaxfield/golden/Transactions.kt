package flaxfield.golden

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.controller.SubsystemParts
import flaxfield.drain.FleetControl
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobTransactions
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.workers.WorkerHealth

/** Whole transactions, as they are sent to the state service. */
object Transactions {
    private val array = Samples.job(Samples.spec(taskCount = 20)).on(0 to "host-1", 9 to "host-2", 17 to "host-1")
    private val gang = Samples.job(
        Samples.spec(jobKind = JobKind.GANG, taskCount = 12),
    ).on(0 to "host-1", 9 to "host-2")
    private const val TERM = StoredSamples.VERSION

    private val writes = listOf(
        transaction("write-array-chunk") { JobTransactions.update(array, array.finish(listOf(9)), TERM) },
        transaction("write-array-head") {
            JobTransactions.update(array, array.copy(failureCount = 1, retryAtMs = 5).free(listOf(0)), TERM)
        },
        transaction("write-array-lost") {
            JobTransactions.update(array, array.free(listOf(17)).interrupt(listOf(17)), TERM)
        },
        transaction("write-gang") { JobTransactions.update(gang, gang.stop(listOf(0, 9)), TERM) },
    )

    private val ends = listOf(
        transaction("over-array") { over(array.finish((0 until 20).toList()), aborted = false, fenced = true) },
        transaction("over-gang") { over(gang.copy(cancelledMs = 9), aborted = true, fenced = true) },
        transaction("over-unfenced") { over(gang, aborted = true, fenced = false) },
    )

    private fun over(job: Job, aborted: Boolean, fenced: Boolean): Transaction {
        val sample = ControllerSample()
        sample.assign()
        sample.put(StoreKeys.JOB + job.id, JobCodec.encodeHead(job))
        for ((number, chunk) in job.chunks) {
            if (number != 0) sample.put(StoreKeys.chunk(job.id, number), JobCodec.encodeChunk(chunk), version = 8uL)
        }
        return JobTransactions.close(sample.context, job, aborted, fenced)
    }

    private val lossMarks = transaction("loss-marks") {
        val context = ControllerSample().context
        val control = FleetControl(SubsystemParts(context, WorkerHealth(context)), StoredSamples.config)
        Transaction(emptyMap(), listOf(control.lossRecord(), control.lossRecord()))
    }

    private fun transaction(name: String, make: () -> Transaction) = textOnly("$name.encode-only.txt") {
        val calls = RecordingCalls()
        StoreClient(calls, calls, ControllerSample.TIMEOUT_MS).txn(make()) {}
        calls.text
    }

    val suite = GoldenSuite("transactions", writes + ends + lossMarks)
}
