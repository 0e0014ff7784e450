package flaxfield.fleet

import flaxfield.jobs.Resources

/** A machine type that the cloud offers. */
data class MachineType(
    val label: String,
    /** The resources of one machine. */
    val capacity: Resources,
    /** The local disk space for cached images, in GB. */
    val cacheGb: Double,
    /** The rate at which one machine fetches images, in GB per second. */
    val fetchGbPerS: Double,
    val onDemandPricePerHour: Double,
    val spotPricePerHour: Double,
    /** The usual time from the rental until the machine reports, in seconds; some take several times as long. */
    val bootTimeS: Double,
    val zones: List<String>,
)
