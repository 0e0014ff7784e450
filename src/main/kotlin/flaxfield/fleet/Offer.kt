package flaxfield.fleet

/** An offer of the cloud: machines of one type in one zone, either on-demand or [preemptible] (spot). */
data class Offer(val machineType: String, val zone: String, val preemptible: Boolean)
