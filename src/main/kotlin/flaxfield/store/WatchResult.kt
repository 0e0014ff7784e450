package flaxfield.store

/** The result of a watch. */
sealed interface WatchResult {
    /** All changes up to [revision], in order; empty if nothing changed before the watch timed out. */
    data class Changes(val revision: ULong, val items: List<KeyUpdate>) : WatchResult

    /** The requested changes have been compacted: the keys must be listed again. */
    data object Compacted : WatchResult

    /** No response, a malformed one, or an error. */
    data object Failed : WatchResult
}
