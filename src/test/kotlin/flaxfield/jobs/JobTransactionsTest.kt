package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.settings.StateLimits
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionSize
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobTransactionsTest {
    @Test
    fun `a job's records fit into the state service's values at any size`() {
        for (valueKb in listOf(4.0, 16.0, 32.0)) {
            val limits = StateLimits(150.0, 30.0, valueKb, 24)
            val size = JobTransactions.tasksPerChunk(limits)
            val spec = Samples.spec(id = "job-" + "9".repeat(18), taskCount = 100_000)
            val job = Samples.job(spec, chunkTasks = size).copy(
                failedMachines = List(8) {
                    "host-00000$it"
                },
                failedAtMs = 1_700_000_000_000,
            )
            val targets = (0 until size * 40).associateWith { Job.Target("host-%06d".format(it), 9uL) }
            val full = (1..40).fold(job.place(targets)) { placed, _ -> placed.place(emptyMap()) }
            // With every other task completed there are the most ranges. The largest transaction must fit as well.
            val halfDone = full.finish((0 until size * 40 step 2).toList())
            for (old in listOf(full, halfDone)) {
                val changed = old.chunks.keys.sorted().take(JobTransactions.maxChunks(limits) + 1).toSet()
                val next = old.copy(
                    chunks = old.chunks.mapValues { (number, chunk) ->
                        if (number in changed) chunk.copy(nextAttempt = chunk.nextAttempt + 1) else chunk
                    },
                )
                assertNull(TransactionSize.violation(JobTransactions.update(old, next, 1uL), limits), "$valueKb KiB")
                assertTrue(TransactionSize.jsonBytes(JobCodec.encodeChunk(old.chunk(size * 39))) < valueKb * 1024)
            }
        }
    }

    @Test
    fun `changes of different chunks of an array do not conflict`() {
        val array = Samples.job(Samples.spec(taskCount = 24)).on(9 to "h")
        val otherChunkUpdate = JobTransactions.update(array, array.on(17 to "g"), 5uL)
        assertEquals(listOf(StoreKeys.chunk("job-1", 2)), otherChunkUpdate.changes.map { it.key })
        // A cancellation changes the head, so that decisions made before it fail.
        assertEquals(array.version, otherChunkUpdate.conditions[StoreKeys.JOB + "job-1"])
        assertEquals(5uL, otherChunkUpdate.conditions[StoreKeys.ASSIGNMENT])
        val lost = TaskEvent.Lost("job-1", 9, 1, "h", "error", true)
        val failed = TaskEventRules.apply(array, listOf(lost), 0, 0)
        assertEquals(
            setOf(StoreKeys.JOB + "job-1", StoreKeys.chunk("job-1", 1)),
            keys(JobTransactions.update(array, failed, 5uL)),
        )
        // The placement of one task depends on those of the others, so a change of their chunks must conflict.
        val coupled = listOf(
            Samples.spec(taskCount = 24, sameZone = true),
            Samples.spec(taskCount = 24, jobKind = JobKind.GANG),
        )
        for (spec in coupled) {
            val job = Samples.job(spec)
            assertEquals(
                setOf(StoreKeys.JOB + "job-1", StoreKeys.chunk("job-1", 2)),
                keys(JobTransactions.update(job, job.on(17 to "g"), 5uL)),
            )
        }
    }

    private fun keys(transaction: Transaction) = transaction.changes.map { it.key }.toSet()
}
