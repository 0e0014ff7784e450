package flaxfield.zones

import flaxfield.jobs.Job

/**
 * An operator's order to abandon what a job class had in a lost zone: its tasks there may be started again elsewhere,
 * although they may have finished, or may still run until their machines are returned.
 */
data class AbandonOrder(
    val zone: String,
    val jobClass: String,
    /** The zone's incarnation at the loss that the order is about; earlier losses are covered as well. */
    val incarnation: Long,
    /** Wall clock in milliseconds. */
    val orderedMs: Long,
    val version: ULong,
) {
    /** The name under which it is stored. */
    val name: String get() = name(zone, jobClass)

    /** Whether it covers the tasks of [job] in its zone, whose incarnation is now [zoneIncarnation]. */
    fun covers(job: Job, zoneIncarnation: Long): Boolean =
        job.spec.jobClass == jobClass && zoneIncarnation <= incarnation && job.submittedMs <= orderedMs

    companion object {
        /** The name under which an order about [jobClass] in [zone] is stored. */
        fun name(zone: String, jobClass: String) = "$zone/$jobClass"
    }
}
