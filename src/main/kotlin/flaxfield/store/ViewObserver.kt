package flaxfield.store

/** Follows the updates of a [ClusterView]; called on the owner thread. */
interface ViewObserver {
    /** [item] has just been applied. */
    fun changed(item: KeyUpdate)

    /** The view is listed anew and holds nothing now. */
    fun cleared()
}
