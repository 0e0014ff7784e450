package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority

/** The operators' rules for the recovery from lost zones. */
interface ZoneRules {
    /** Returns the recovery tier of [spec]. Tier 0 is the most urgent. */
    fun tier(spec: JobSpec): Int

    /** Whether a task of [spec] must not be restarted if it may have finished. */
    fun forbidsRepeat(spec: JobSpec): Boolean

    /** Whether operators have abandoned the tasks of [job] in [zone], which has been lost [incarnation] times. */
    fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean
}

/** The rules without a fleet file: each priority is a tier, and every task may be restarted. */
object PriorityTiers : ZoneRules {
    override fun tier(spec: JobSpec): Int = Priority.PROD.ordinal - spec.priority.ordinal

    override fun forbidsRepeat(spec: JobSpec): Boolean = false

    override fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean = false
}
