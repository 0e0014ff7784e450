package flaxfield.drain

/** An operator's order about one drain. */
sealed interface DrainOrder {
    val id: String

    /** Drains the machines that [selector] matches. */
    data class Start(override val id: String, val selector: Selector) : DrainOrder

    /** Evicts nothing more until the drain is resumed. */
    data class Pause(override val id: String) : DrainOrder

    /** Continues a paused drain. */
    data class Resume(override val id: String) : DrainOrder

    /** Ends the drain and uncordons the machines that are left. */
    data class Cancel(override val id: String) : DrainOrder
}
