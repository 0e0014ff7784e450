package flaxfield.store

/** A change of one key in a transaction. */
sealed interface Change {
    val key: String

    /** Writes [value]. With a [lease], the key is deleted when that lease expires or is revoked. */
    data class Put(override val key: String, val value: Map<String, Any?>, val lease: ULong? = null) : Change

    /** Deletes the key. */
    data class Delete(override val key: String) : Change
}

/**
 * A compare-and-swap over several keys: all of [changes] are applied if every key of [conditions] has the given
 * version (0: the key is absent), otherwise none.
 */
data class Transaction(val conditions: Map<String, ULong>, val changes: List<Change>)

/** The outcome of a transaction. */
sealed interface TransactionOutcome {
    /** All changes were applied at [revision]. */
    data class Committed(val revision: ULong) : TransactionOutcome

    /** Nothing was changed, since the conditions on the [failed] keys did not hold as of [revision]. */
    data class Conflict(val failed: List<String>, val revision: ULong) : TransactionOutcome

    /** Not executed: rejected, rate-limited, or written with an unknown lease. [status] is the HTTP status. */
    data class Refused(val status: Int) : TransactionOutcome

    /** No response. The transaction may have been executed or may still be, if its conditions hold. */
    data object Unknown : TransactionOutcome
}
