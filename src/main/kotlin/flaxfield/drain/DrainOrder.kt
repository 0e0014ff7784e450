package flaxfield.drain

/** An operator's order to start or change a drain. */
sealed interface DrainOrder {
    val id: String

    /** Starts a drain of the machines that [selector] matches. */
    data class Start(override val id: String, val selector: Selector) : DrainOrder

    /** Suspends the drain until it is resumed. */
    data class Pause(override val id: String) : DrainOrder

    /** Continues a paused drain. */
    data class Resume(override val id: String) : DrainOrder

    /** Ends the drain and uncordons its remaining machines. */
    data class Cancel(override val id: String) : DrainOrder
}
