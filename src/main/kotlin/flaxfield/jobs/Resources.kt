package flaxfield.jobs

/** The resources that a task requests or that a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    /** Returns the component-wise sum. */
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    /** Returns the component-wise difference. */
    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    /** Returns the total request of [count] tasks of this size. */
    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Whether a task that requests [taskResources] fits. */
    fun canHold(taskResources: Resources): Boolean = cpus + EPSILON >= taskResources.cpus &&
        gpus + EPSILON >= taskResources.gpus &&
        memoryGb + EPSILON >= taskResources.memoryGb

    /** Returns how many tasks that request [taskResources] each fit. */
    fun countFitting(taskResources: Resources): Int = minOf(
        countFitting(cpus, taskResources.cpus),
        countFitting(gpus, taskResources.gpus),
        countFitting(memoryGb, taskResources.memoryGb),
    )

    private fun countFitting(available: Double, requested: Double): Int =
        if (requested <= 0.0) Int.MAX_VALUE else ((available + EPSILON) / requested).toInt().coerceAtLeast(0)

    companion object {
        val NONE = Resources(0.0, 0.0, 0.0)

        /** Tolerance for rounding: a sum of decimal amounts may exceed an equal amount in its last bit. */
        private const val EPSILON = 1e-6
    }
}
