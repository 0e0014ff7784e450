package flaxfield.sim

/** A machine of the simulated cloud. */
data class SimMachine(val machineName: String, val machineType: String, val zone: String, val preemptible: Boolean)
