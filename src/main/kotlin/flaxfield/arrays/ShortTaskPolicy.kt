package flaxfield.arrays

import flaxfield.jobs.JobSpec

/**
 * Limits how many tasks of an array run at once if they are much shorter than the boot of a machine. Each slot then
 * runs many tasks one after another. Started all at once, they would take every free slot and scale the fleet out for a
 * few seconds of work. Pure functions.
 */
object ShortTaskPolicy {
    /** Returns the number of tasks of [spec] that may be placed at once. Times are in seconds. */
    fun maxConcurrentTasks(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double): Int =
        concurrentTasks(spec, bootTimeS, heartbeatIntervalS, MIN_CONCURRENT_TASKS)

    /** Returns the number of slots to scale out for [pending] tasks, in addition to the slots of [placed] tasks. */
    fun slotsToProvision(
        spec: JobSpec,
        pending: Int,
        placed: Int,
        bootTimeS: Double,
        heartbeatIntervalS: Double,
    ): Int {
        val wanted = concurrentTasks(spec, bootTimeS, heartbeatIntervalS, MIN_PROVISIONED_SLOTS)
        return minOf(pending, wanted - placed).coerceAtLeast(0)
    }

    private fun concurrentTasks(spec: JobSpec, bootTimeS: Double, heartbeatIntervalS: Double, minimum: Int): Int {
        if (spec.expectedRuntimeS >= bootTimeS * SHORT_TASK_FRACTION) return Int.MAX_VALUE
        // A slot is occupied during the run, and for about one heartbeat interval in all before and after it.
        val fraction = (spec.expectedRuntimeS + heartbeatIntervalS) / (bootTimeS * COMPLETION_BOOT_TIMES)
        return maxOf(minimum, Math.ceil(spec.taskCount * fraction).toInt())
    }

    /** Tasks shorter than this fraction of the boot time are short. */
    private const val SHORT_TASK_FRACTION = 0.5

    /** The target completion time of an array of short tasks, in boot times. */
    private const val COMPLETION_BOOT_TIMES = 3.0
    private const val MIN_CONCURRENT_TASKS = 256
    private const val MIN_PROVISIONED_SLOTS = 32
}
