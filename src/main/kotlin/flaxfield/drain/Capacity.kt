package flaxfield.drain

import flaxfield.jobs.JobSpec

/** An amount of CPUs and accelerators, the resources that disruption budgets limit. */
data class Capacity(val cpus: Double, val accelerators: Double) {
    /** Returns the sum of both amounts. */
    operator fun plus(other: Capacity) = Capacity(cpus + other.cpus, accelerators + other.accelerators)

    /** Returns this amount multiplied by [count]. */
    operator fun times(count: Int) = Capacity(cpus * count, accelerators * count)

    /** Returns this amount multiplied by [factor]. */
    operator fun times(factor: Double) = Capacity(cpus * factor, accelerators * factor)

    /** Returns whether this amount exceeds [limit] in neither resource. */
    fun within(limit: Capacity): Boolean = cpus <= limit.cpus + EPSILON && accelerators <= limit.accelerators + EPSILON

    /** Returns the smaller amount of each resource. */
    fun min(other: Capacity) = Capacity(minOf(cpus, other.cpus), minOf(accelerators, other.accelerators))

    /** Returns the dominant share of [limit]: the larger of the two fractions; 0 if this amount is 0. */
    fun fractionOf(limit: Capacity): Double =
        maxOf(fraction(cpus, limit.cpus), fraction(accelerators, limit.accelerators))

    private fun fraction(amount: Double, limit: Double): Double = when {
        amount <= EPSILON -> 0.0
        limit <= 0.0 -> Double.MAX_VALUE
        else -> amount / limit
    }

    companion object {
        /** No capacity at all. */
        val NONE = Capacity(0.0, 0.0)

        /** Tolerates rounding errors in sums of amounts. */
        private const val EPSILON = 1e-6

        /** Returns the capacity that one task of a job takes. */
        fun of(spec: JobSpec) = Capacity(spec.taskResources.cpus, spec.taskResources.gpus)
    }
}
