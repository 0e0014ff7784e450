package flaxfield.store

/** One change in a transaction. */
sealed interface Change {
    val key: String

    /** Writes [value]; with a [lease] the key is deleted when that lease ends. */
    data class Put(override val key: String, val value: Map<String, Any?>, val lease: ULong? = null) : Change

    /** Deletes the key. */
    data class Delete(override val key: String) : Change
}

/**
 * A compare-and-swap over several keys: all of [changes] are applied if every key of [conditions] has the given
 * version (0: the key is absent), otherwise none.
 */
data class Transaction(val conditions: Map<String, ULong>, val changes: List<Change>)

/** What became of a transaction. */
sealed interface TransactionOutcome {
    /** All changes were applied at [revision]. */
    data class Committed(val revision: ULong) : TransactionOutcome

    /** The conditions on the keys [failed] did not hold: nothing was changed. [revision] is that of the comparison. */
    data class Conflict(val failed: List<String>, val revision: ULong) : TransactionOutcome

    /** Not executed: refused, over the rate limit, or no such lease. [status] is the HTTP status. */
    data class Refused(val status: Int) : TransactionOutcome

    /** No answer: it may have been executed, or may be later. Its conditions decide. */
    data object Unknown : TransactionOutcome
}
