package flaxfield.quota

import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.settings.Team

/** Tolerance for sums of fractional resources that are compared with a guarantee or a limit. */
internal const val QUOTA_EPSILON = 1e-6

/**
 * The resources in use by each team's task records, including those of older attempts. A record counts until its task
 * is proven to have terminated on its machine. Not shared: each scheduler adds its placements to its own copy.
 */
class TeamUsage private constructor(
    private val teams: Map<String, Team>,
    private val used: HashMap<String, Resources>,
) {
    constructor(jobs: Collection<Job>, teams: Map<String, Team>) : this(teams, HashMap()) {
        for (job in jobs) {
            if (job.placedCount > 0) add(job.spec.team, job.spec.taskResources * job.placedCount)
        }
    }

    /** Returns an independent copy. */
    fun copy() = TeamUsage(teams, HashMap(used))

    /** Returns the resources that the team uses. */
    fun of(team: String): Resources = used[team] ?: Resources.NONE

    /** Adds [resources] to the usage of the team. */
    fun add(team: String, resources: Resources) {
        used[team] = of(team) + resources
    }

    /**
     * Returns how many more tasks of size [taskResources] the team's limit admits in addition to its usage and
     * the quota [reserved] for its other jobs. Returns [Int.MAX_VALUE] without a limit, and 0 for an unknown team.
     */
    fun remainingTasks(team: String, taskResources: Resources, reserved: Resources = Resources.NONE): Int {
        val limits = teams[team] ?: return 0
        val usage = of(team) + reserved
        return minOf(
            countFitting(limits.cpusMax, usage.cpus, taskResources.cpus),
            countFitting(limits.gpusMax, usage.gpus, taskResources.gpus),
        )
    }

    /** Returns the team's usage relative to its guarantee, where each guarantee counts as at least one unit. */
    fun guaranteeShare(team: String): Double {
        val guarantee = teams[team] ?: return 0.0
        val usage = of(team)
        return maxOf(usage.cpus / maxOf(1.0, guarantee.cpus), usage.gpus / maxOf(1.0, guarantee.gpus))
    }

    /** Returns the team's usage relative to its guarantee by its dominant resource, see [DominantShare]. */
    fun dominantShare(team: String): Double = of(team).let { DominantShare.of(it.cpus, it.gpus, teams[team]) }

    /** Whether the team uses more than its guarantee. A team without a guarantee borrows all that it uses. */
    fun exceedsGuarantee(team: String): Boolean {
        val guarantee = teams[team] ?: return true
        val usage = of(team)
        return (usage.cpus > guarantee.cpus + QUOTA_EPSILON && guarantee.cpus > 0) ||
            (usage.gpus > guarantee.gpus + QUOTA_EPSILON && guarantee.gpus > 0) ||
            (guarantee.cpus <= 0.0 && guarantee.gpus <= 0.0)
    }

    private fun countFitting(limit: Double, used: Double, perTask: Double): Int {
        if (limit <= 0.0 || perTask <= 0.0) return Int.MAX_VALUE
        return ((limit - used + QUOTA_EPSILON) / perTask).toInt().coerceAtLeast(0)
    }
}
