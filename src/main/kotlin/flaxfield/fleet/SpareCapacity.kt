package flaxfield.fleet

import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import kotlin.math.ceil

/** The arrival rate of the tasks of a job class, and the spec of its latest job as the template for the next ones. */
data class ArrivalRate(val latest: JobSpec, val tasksPerS: Double)

/** Computes the spare capacity (headroom) for jobs that have not arrived yet. Pure functions. */
object SpareCapacity {
    /**
     * Returns one demand per job class: the tasks that arrive within [provisioningS], the time to provision a machine,
     * times the factor of the job kind. Arrays get spare capacity only on spot machines.
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
