package flaxfield.drain

import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.zones.AbandonOrder
import flaxfield.zones.PriorityTiers
import flaxfield.zones.ZoneRules

/**
 * Takes the rules from the fleet files and the operators' orders in the latest snapshot. While the members' files
 * differ, the strictest rule applies.
 */
class FleetZoneRules(private val snapshot: () -> FleetSnapshot) : ZoneRules {
    private var policySource: FleetSnapshot? = null
    private var policy: FleetPolicy? = null

    /**
     * Returns the policy that combines the files of all members, or null if there is none. It is also used while only
     * some members have a file, so that anything forbidden by one file is forbidden.
     */
    private fun policy(): FleetPolicy? {
        val current = snapshot()
        if (policySource?.configs !== current.configs) {
            policy = current.configs.values.takeIf { it.isNotEmpty() }?.let(::FleetPolicy)
        }
        policySource = current
        return policy
    }

    override fun tier(spec: JobSpec): Int = policy()?.recoveryTier(spec.jobClass) ?: PriorityTiers.tier(spec)

    override fun forbidsRepeat(spec: JobSpec): Boolean = policy()?.repeatPolicy(spec.jobClass) == RepeatPolicy.NEVER

    override fun isAbandoned(job: Job, zone: String, incarnation: Long): Boolean =
        snapshot().abandons[AbandonOrder.name(zone, job.spec.jobClass)]?.covers(job, incarnation) ?: false
}
