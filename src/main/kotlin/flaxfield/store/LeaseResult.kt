package flaxfield.store

/** The result of a request for a new lease. */
sealed interface LeaseGrantResult {
    /** The new lease. */
    data class Granted(val lease: ULong) : LeaseGrantResult

    /** No response, a malformed one, or an error. The lease may have been granted nevertheless. */
    data object Failed : LeaseGrantResult
}

/** The result of a lease renewal. */
enum class LeaseRenewalResult {
    RENEWED,

    /** The lease has expired, and the keys that were written with it are deleted. */
    EXPIRED,

    /** No response, or an error. The lease may have been renewed nevertheless. */
    FAILED,
}
