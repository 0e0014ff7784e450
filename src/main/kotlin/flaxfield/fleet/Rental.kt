package flaxfield.fleet

/**
 * A request for [count] machines. It is stored before it is sent to the cloud, so that a new leader can repeat it under
 * the same name: the cloud answers a repeated name as the first time.
 */
data class Rental(
    val name: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val count: Int,
    /** When it was requested; wall clock in milliseconds. */
    val rentedMs: Long,
    val version: ULong,
) {
    /** The offer that it takes up. */
    val offer: Offer get() = Offer(machineType, zone, preemptible)
}
