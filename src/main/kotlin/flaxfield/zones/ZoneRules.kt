package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority

/** What operators have decided about the recovery from lost zones. */
interface ZoneRules {
    /** The recovery tier of [spec]; 0 is the most urgent. */
    fun tier(spec: JobSpec): Int

    /** Whether a task of [spec] that may have finished must not be started again. */
    fun forbidsRepeat(spec: JobSpec): Boolean

    /** Whether operators have abandoned the tasks of [job] in [zone], which has been lost [incarnation] times. */
    fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean
}

/** The rules without a fleet file: priorities are the tiers, and every task may be started again. */
object PriorityTiers : ZoneRules {
    override fun tier(spec: JobSpec): Int = Priority.PROD.ordinal - spec.priority.ordinal

    override fun forbidsRepeat(spec: JobSpec): Boolean = false

    override fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean = false
}
