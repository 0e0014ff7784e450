package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.settings.StateLimits

/** How large a [Ledger] may grow: all of it is one value of the state service. */
object LedgerLimits {
    /** The size of one entry (job, task, attempt and drain) as the state service counts it. */
    private const val ENTRY_BYTES = 80

    /** The fraction of a value that entries may fill. */
    private const val MAX_FILL = 0.75

    /** How many disrupted tasks of one team fit one value. */
    fun maxEntries(limits: StateLimits): Int =
        (limits.valueKb * BYTES_PER_KIB * MAX_FILL / ENTRY_BYTES).toInt().coerceAtLeast(1)
}
