package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.settings.StateLimits

/** Limits the size of a [Ledger], which is stored as one value of the state service. */
object LedgerLimits {
    /** The stored size of one entry (job, task, attempt and drain). */
    private const val ENTRY_BYTES = 80

    /** The fraction of the maximum value size that entries may fill. */
    private const val MAX_FILL = 0.75

    /** Returns the maximum number of disrupted tasks in one team's ledger. */
    fun maxEntries(limits: StateLimits): Int =
        (limits.valueKb * BYTES_PER_KIB * MAX_FILL / ENTRY_BYTES).toInt().coerceAtLeast(1)
}
