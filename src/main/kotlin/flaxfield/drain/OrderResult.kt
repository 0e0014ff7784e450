package flaxfield.drain

/** The outcome of an order that writes a record of type [R]. */
sealed interface OrderResult<out R> {
    /** The order is recorded, by this submission or an earlier one. */
    data class Recorded<R>(val record: R, val revision: ULong) : OrderResult<R>

    /** The order was refused, or its outcome is unknown. */
    data class Refused(val code: OrderErrorCode, val message: String) : OrderResult<Nothing>

    /** Returns the same outcome, with the record that [make] creates for the revision. */
    fun <T> recordedAs(make: (ULong) -> T): OrderResult<T> = when (this) {
        is Recorded -> Recorded(make(revision), revision)
        is Refused -> this
    }
}

/** Why an order was refused, or why its outcome is unknown. */
enum class OrderErrorCode {
    /** The order names something that does not exist. */
    NOT_FOUND,

    /** The order itself is invalid. */
    INVALID,

    /** The order conflicts with the current state of the drain or the zone. */
    CONFLICT,

    /** The order can't be recorded now. The operator may retry it. */
    UNAVAILABLE,

    /** The state service did not respond, so the order may be recorded. A retry is safe. */
    UNKNOWN,
}
