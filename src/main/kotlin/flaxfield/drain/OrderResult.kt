package flaxfield.drain

/** The outcome of an order that writes a record of type [R]. */
sealed interface OrderResult<out R> {
    /** The order is recorded, now or by an earlier submission of it. */
    data class Recorded<R>(val record: R, val revision: ULong) : OrderResult<R>

    /** The order was not carried out. */
    data class Refused(val fault: OrderFault, val message: String) : OrderResult<Nothing>

    /** The same outcome, with the record that [make] returns for the revision. */
    fun <T> recordedAs(make: (ULong) -> T): OrderResult<T> = when (this) {
        is Recorded -> Recorded(make(revision), revision)
        is Refused -> this
    }
}

/** Why an order is refused. */
enum class OrderFault {
    /** It names something that does not exist. */
    NOT_FOUND,

    /** It is invalid in itself. */
    INVALID,

    /** It conflicts with the present state of the drain. */
    CONFLICT,

    /** It can't be written now, and was not. */
    UNAVAILABLE,

    /** The state service has not answered: the order may be recorded. Repeating it is safe. */
    UNKNOWN,
}
