package flaxfield.store

/** The answer to a watch. */
sealed interface WatchResult {
    /** All changes up to [revision], in their order; none if nothing changed in time. */
    data class Changes(val revision: ULong, val items: List<KeyUpdate>) : WatchResult

    /** The changes that were asked for are no longer kept: the keys have to be listed anew. */
    data object Compacted : WatchResult

    /** No answer, one that can't be read, or an error. */
    data object Failed : WatchResult
}
