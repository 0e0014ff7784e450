package flaxfield.zones

import flaxfield.drain.FleetPolicy
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.RepeatPolicy
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/**
 * The rules of the fleet files and the operators' orders, as of the latest snapshot. While the members' files differ,
 * the strictest applies.
 */
class FleetZoneRules(private val snapshot: () -> FleetSnapshot) : ZoneRules {
    private var policySource: FleetSnapshot? = null
    private var policy: FleetPolicy? = null

    /**
     * The policy of all members' files, also while only some members have one: what one file forbids stays forbidden.
     * Null without any file.
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
