package flaxfield.zones

import flaxfield.jobs.Job

/**
 * An operator's order to abandon the tasks of a job class in a lost zone. These tasks may then be restarted elsewhere,
 * although they may have finished, or may still run until their machines are returned.
 */
data class AbandonOrder(
    val zone: String,
    val jobClass: String,
    /** The zone's incarnation at the loss to which the order applies. Earlier losses are covered as well. */
    val incarnation: Long,
    /** When the order was given, in milliseconds of wall-clock time. */
    val orderedMs: Long,
    val version: ULong,
) {
    /** The name under which the order is stored. */
    val name: String get() = name(zone, jobClass)

    /** Whether the order covers the tasks of [job] in its zone, whose current incarnation is [zoneIncarnation]. */
    fun covers(job: Job, zoneIncarnation: Long): Boolean =
        job.spec.jobClass == jobClass && zoneIncarnation <= incarnation && job.submittedMs <= orderedMs

    companion object {
        /** Returns the name under which an order for [jobClass] in [zone] is stored. */
        fun name(zone: String, jobClass: String) = "$zone/$jobClass"
    }
}
