package flaxfield.jobs

import flaxfield.BYTES_PER_KIB
import flaxfield.settings.StateLimits
import flaxfield.store.TransactionSize

/**
 * Decides whether the start of a gang fits into one transaction of the state service, as a gang starts with a single
 * write or not at all. Admission, the gang scheduler, the capacity plan and `explain job` all ask here. Pure.
 */
class GangTransactionSize(private val limits: StateLimits) {
    private val tasksPerChunk = JobTransactions.tasksPerChunk(limits)

    /** Returns why no state of the cluster lets the gang of [spec] start, or null if there is no such reason. */
    fun rejectionReason(spec: JobSpec): String? {
        if (spec.jobKind != JobKind.GANG) return null
        val chunks = (spec.taskCount + tasksPerChunk - 1) / tasksPerChunk
        val maxChunks = limits.txnOps - QUOTA_FENCE_CHANGES
        if (chunks > maxChunks) {
            return tooLarge(spec, "$chunks changes", "$maxChunks")
        }
        val bytes = startBytes(spec, chunks)
        if (bytes <= MAX_TRANSACTION_BYTES) return null
        return tooLarge(spec, "$bytes bytes", "$MAX_TRANSACTION_BYTES")
    }

    private fun tooLarge(spec: JobSpec, needed: String, allowed: String): String =
        "the start of a gang of ${spec.taskCount} tasks takes $needed, and a transaction may have $allowed"

    private fun startBytes(spec: JobSpec, chunks: Int): Int {
        val rowBytes = ROW_BYTES + spec.taskCount.toString().length
        val rowsBytes = spec.taskCount * rowBytes
        // The text of the job matters only for a gang that is near the limit.
        if (rowsBytes * 2 < MAX_TRANSACTION_BYTES) return rowsBytes
        return rowsBytes + chunks * CHUNK_BYTES + HEAD_BYTES + TransactionSize.jsonBytes(JobCodec.encodeSpec(spec))
    }

    private companion object {
        const val MAX_TRANSACTION_BYTES = 64 * BYTES_PER_KIB

        /** The change of the team's quota fence. */
        const val QUOTA_FENCE_CHANGES = 1

        /** A stored placement without its index, with an attempt and an incarnation of three digits. */
        const val ROW_BYTES = 32

        /** A chunk without its placements: its key, as a condition and as a change, and its other fields. */
        const val CHUNK_BYTES = 180

        /** The head without spec and placements: failures, times, and the conditions on term and fence. */
        const val HEAD_BYTES = 1_500
    }
}
