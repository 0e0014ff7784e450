package flaxfield.store

/** The answer to a list request. */
sealed interface ListResult {
    /** Some keys in their order, as of [revision]; [more] says that others follow. */
    data class Page(val items: List<KeyUpdate>, val more: Boolean, val revision: ULong) : ListResult

    /** No answer, one that can't be read, or an error. */
    data object Failed : ListResult
}
