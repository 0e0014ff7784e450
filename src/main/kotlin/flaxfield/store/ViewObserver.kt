package flaxfield.store

/** Observes the updates of a [ClusterView]; called on the owner thread. */
interface ViewObserver {
    /** Called after [item] has been applied. */
    fun changed(item: KeyUpdate)

    /** Called after the view has been cleared, before it is listed again. */
    fun cleared()
}
