package flaxfield.store

/** The result of a list request. */
sealed interface ListResult {
    /** One page of keys in order, as of [revision]; [more] is true if further pages follow. */
    data class Page(val items: List<KeyUpdate>, val more: Boolean, val revision: ULong) : ListResult

    /** No response, a malformed one, or an error. */
    data object Failed : ListResult
}
