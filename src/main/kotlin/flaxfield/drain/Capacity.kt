package flaxfield.drain

import flaxfield.jobs.JobSpec

/** An amount of CPUs and accelerators, the resources that disruption budgets count. */
data class Capacity(val cpus: Double, val accelerators: Double) {
    /** The sum of both amounts. */
    operator fun plus(other: Capacity) = Capacity(cpus + other.cpus, accelerators + other.accelerators)

    /** This amount [count] times. */
    operator fun times(count: Int) = Capacity(cpus * count, accelerators * count)

    /** This amount scaled by [factor]. */
    operator fun times(factor: Double) = Capacity(cpus * factor, accelerators * factor)

    /** Whether this amount stays within [limit]. */
    fun within(limit: Capacity): Boolean = cpus <= limit.cpus + EPSILON && accelerators <= limit.accelerators + EPSILON

    /** The smaller amount of each kind. */
    fun min(other: Capacity) = Capacity(minOf(cpus, other.cpus), minOf(accelerators, other.accelerators))

    /** The larger of its two fractions of [limit]; 0 where this amount is 0. */
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

        /** Absorbs rounding errors in sums of decimal amounts. */
        private const val EPSILON = 1e-6

        /** What one task of a job takes. */
        fun of(spec: JobSpec) = Capacity(spec.taskResources.cpus, spec.taskResources.gpus)
    }
}
