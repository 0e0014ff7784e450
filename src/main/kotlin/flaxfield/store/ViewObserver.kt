package flaxfield.store

/** Follows what the view takes in; called on the owner thread. */
interface ViewObserver {
    /** [item] has just been applied. */
    fun changed(item: KeyUpdate)

    /** The view is read anew and holds nothing now. */
    fun cleared()
}
