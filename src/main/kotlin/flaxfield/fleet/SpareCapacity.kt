package flaxfield.fleet

import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import kotlin.math.ceil

/** How fast tasks of a job class arrive, and its latest job as the pattern for the next ones. */
data class ArrivalRate(val latest: JobSpec, val tasksPerS: Double)

/** Pure: the spare capacity (headroom) that is kept for jobs that have not arrived yet. */
object SpareCapacity {
    /**
     * One demand for each class: as many tasks as arrive while a machine is provisioned, which takes [provisioningS],
     * times the factor of its job kind. Arrays get spare capacity only on spot machines.
     */
    fun demands(
        rates: List<ArrivalRate>,
        provisioningS: (JobSpec) -> Double,
        gangFactor: Double,
        arrayFactor: Double,
    ): List<CapacityDemand> = rates.mapNotNull { rate ->
        val factor = when {
            rate.latest.jobKind == JobKind.GANG -> gangFactor
            rate.latest.preemptible -> arrayFactor
            else -> 0.0
        }
        val tasks = ceil(rate.tasksPerS * provisioningS(rate.latest) * factor).toInt()
        if (tasks > 0) CapacityDemand(rate.latest, tasks) else null
    }
}
