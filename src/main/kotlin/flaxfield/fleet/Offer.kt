package flaxfield.fleet

/** What can be rented: machines of one type in one zone, on-demand or [preemptible] (spot). */
data class Offer(val machineType: String, val zone: String, val preemptible: Boolean)
