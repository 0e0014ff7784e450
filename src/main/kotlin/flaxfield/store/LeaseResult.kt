package flaxfield.store

/** The answer to the request for a new lease. */
sealed interface LeaseGrantResult {
    /** The new lease. */
    data class Granted(val lease: ULong) : LeaseGrantResult

    /** No answer, one that can't be read, or an error: a lease may have been granted all the same. */
    data object Failed : LeaseGrantResult
}

/** The answer to the renewal of a lease. */
enum class LeaseRenewalResult {
    RENEWED,

    /** The lease has ended, and the keys that were written with it are gone. */
    EXPIRED,

    /** No answer, or an error: the lease may have been renewed all the same. */
    FAILED,
}
