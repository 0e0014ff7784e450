package flaxfield.fleet

import flaxfield.quota.JobOrder

/** Pure: when a job that spot machines would do for is urgent enough for on-demand machines, which cost more. */
object OnDemandUrgency {
    /**
     * Whether a waiting job misses a service-level objective unless it gets a machine now. [startObjectivesS] are the
     * objectives of its class for the time until it starts, and [provisioningS] is what boot and image fetch take: the
     * tightest objective that can still be met is at risk, or the last one has been missed. Not if the queue for spot
     * machines, which reaches the job's last task in [queueS], is fast enough.
     */
    fun isStartObjectiveAtRisk(
        ageS: Double,
        provisioningS: Double,
        queueS: Double,
        startObjectivesS: List<Double>,
    ): Boolean {
        if (startObjectivesS.isEmpty()) return false
        val tightest = startObjectivesS.filter { it > ageS + provisioningS }.minOrNull()
            ?: return ageS > startObjectivesS.max()
        return ageS + provisioningS * PROVISIONING_MARGIN > tightest && ageS + queueS > tightest * QUEUE_SHARE
    }

    /** Whether a job of a class without objectives has waited so long that it may never begin, or never finish. */
    fun isOverdueWithoutObjective(ageS: Double, hasStarted: Boolean): Boolean =
        ageS > JobOrder.START_OBJECTIVE_S * (if (hasStarted) BEGUN_SHARE else NOT_BEGUN_SHARE)

    private const val NOT_BEGUN_SHARE = 0.5
    private const val BEGUN_SHARE = 2.0

    /** A queue that ends within this share of the objective needs no on-demand machines. */
    private const val QUEUE_SHARE = 1.0

    /** Boots take up to half as long again, and images fetched at the same time share the bandwidth. */
    private const val PROVISIONING_MARGIN = 1.5
}
