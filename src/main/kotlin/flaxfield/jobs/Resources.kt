package flaxfield.jobs

/** What one task takes of its machine, or what a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val ram: Double) {
    operator fun plus(o: Resources) = Resources(cpus + o.cpus, gpus + o.gpus, ram + o.ram)

    operator fun minus(o: Resources) = Resources(cpus - o.cpus, gpus - o.gpus, ram - o.ram)

    operator fun times(n: Int) = Resources(cpus * n, gpus * n, ram * n)

    /** Whether a task of size [taskResources] fits in here. */
    fun canHold(taskResources: Resources): Boolean = cpus + EPSILON >= taskResources.cpus &&
        gpus + EPSILON >= taskResources.gpus &&
        ram + EPSILON >= taskResources.ram

    /** How many tasks of size [taskResources] fit in here. */
    fun countFitting(taskResources: Resources): Int =
        minOf(parts(cpus, taskResources.cpus), parts(gpus, taskResources.gpus), parts(ram, taskResources.ram))

    private fun parts(have: Double, taskResources: Double): Int =
        if (taskResources <= 0.0) Int.MAX_VALUE else ((have + EPSILON) / taskResources).toInt().coerceAtLeast(0)

    companion object {
        val NONE = Resources(0.0, 0.0, 0.0)

        /** Amounts are decimal numbers: sums of a few of them must not fail on the last bit. */
        private const val EPSILON = 1e-6
    }
}
