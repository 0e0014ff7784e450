package flaxfield.zones

import flaxfield.drain.FleetPolicy
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.RepeatPolicy
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/**
 * What the fleet files and the operators' orders say, as of the latest snapshot. While files differ, the strictest
 * applies.
 */
class FleetZoneRules(private val snapshot: () -> FleetSnapshot) : ZoneRules {
    private var policyOf: FleetSnapshot? = null
    private var policy: FleetPolicy? = null

    /** Also of files of earlier runs, and of some members only: what one file forbids stays forbidden. */
    private fun policy(): FleetPolicy? {
        val now = snapshot()
        if (policyOf?.configs !==
            now.configs
        ) {
            policy = now.configs.values.takeIf { it.isNotEmpty() }?.let(::FleetPolicy)
        }
        policyOf = now
        return policy
    }

    override fun tier(spec: JobSpec): Int = policy()?.recoveryTier(spec.jobClass) ?: PriorityTiers.tier(spec)

    override fun forbidsRepeat(spec: JobSpec): Boolean = policy()?.repeat(spec.jobClass) == RepeatPolicy.NEVER

    override fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean =
        snapshot().abandons[AbandonOrder.name(zone, job.spec.jobClass)]?.covers(job, incarnation) ?: false
}
