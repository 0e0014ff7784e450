package flaxfield.fleet

import flaxfield.quota.JobOrder

/**
 * Decides when a job that could use spot machines is urgent enough for on-demand machines, which cost more. Pure
 * functions.
 */
object OnDemandUrgency {
    /**
     * Whether a waiting job will miss a service-level objective unless a machine is rented for it now.
     * [startObjectivesS] are the objectives of its class for the time until it starts. [provisioningS] is the time for
     * boot and image fetch, and [queueWaitS] the time until the queue for spot machines reaches the job's last task.
     *
     * The tightest objective that can still be met decides: it is not at risk if the queue is fast enough to meet it.
     * If none can be met, the job is at risk once it has missed the last one.
     */
    fun isStartObjectiveAtRisk(
        ageS: Double,
        provisioningS: Double,
        queueWaitS: Double,
        startObjectivesS: List<Double>,
    ): Boolean {
        if (startObjectivesS.isEmpty()) return false
        val tightest = startObjectivesS.filter { it > ageS + provisioningS }.minOrNull()
            ?: return ageS > startObjectivesS.max()
        return ageS + provisioningS * PROVISIONING_MARGIN > tightest && ageS + queueWaitS > tightest * QUEUE_SHARE
    }

    /** Whether a job of a class without objectives has waited so long that it may never start, or never finish. */
    fun isOverdueWithoutObjective(ageS: Double, hasStarted: Boolean): Boolean =
        ageS > JobOrder.START_OBJECTIVE_S * (if (hasStarted) STARTED_FACTOR else NOT_STARTED_FACTOR)

    /** The age limits without an objective, as multiples of [JobOrder.START_OBJECTIVE_S]. */
    private const val NOT_STARTED_FACTOR = 0.5
    private const val STARTED_FACTOR = 2.0

    /** No on-demand machines are needed if the queue ends within this share of the objective. */
    private const val QUEUE_SHARE = 1.0

    /** Boots take up to 1.5 times the usual time, and concurrent image fetches share the bandwidth. */
    private const val PROVISIONING_MARGIN = 1.5
}
