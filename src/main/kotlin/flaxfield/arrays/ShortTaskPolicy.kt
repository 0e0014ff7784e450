package flaxfield.arrays

import flaxfield.jobs.JobSpec

/**
 * Pure: how many tasks of an array run at once if they are much shorter than a machine's boot. Each place then serves
 * many tasks in turn; started all at once, they would take every free place and scale the fleet out for a few seconds
 * of work.
 */
object ShortTaskPolicy {
    /** How many tasks of [spec] may be placed at once. Times are in seconds. */
    fun maxConcurrentTasks(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double): Int =
        concurrentTasks(spec, bootTimeS, heartbeatIntervalS, MIN_CONCURRENT_TASKS)

    /** How many more places are worth scaling out for [pending] tasks, while [placed] others have theirs. */
    fun slotsToProvision(
        spec: JobSpec,
        pending: Int,
        placed: Int,
        bootTimeS: Double,
        heartbeatIntervalS: Double,
    ): Int {
        val wanted = concurrentTasks(spec, bootTimeS, heartbeatIntervalS, MIN_PROVISIONED_PLACES)
        return minOf(pending, wanted - placed).coerceAtLeast(0)
    }

    private fun concurrentTasks(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double, minimum: Int): Int {
        if (spec.expectedRuntimeS >= bootTimeS * SHORT_TASK_FRACTION) return Int.MAX_VALUE
        // A place is taken for the run, and for about a heartbeat before and after it.
        val fraction = (spec.expectedRuntimeS + heartbeatIntervalS) / (bootTimeS * COMPLETION_BOOT_TIMES)
        return maxOf(minimum, Math.ceil(spec.taskCount * fraction).toInt())
    }

    /** Tasks shorter than this fraction of a boot are short. */
    private const val SHORT_TASK_FRACTION = 0.5

    /** An array of short tasks is meant to complete within this many boot times. */
    private const val COMPLETION_BOOT_TIMES = 3.0
    private const val MIN_CONCURRENT_TASKS = 256
    private const val MIN_PROVISIONED_PLACES = 32
}
