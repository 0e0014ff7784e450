package flaxfield.quota

import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.settings.Team

/** Tolerance for sums of fractional resources that are compared with a guarantee or a limit. */
internal const val QUOTA_EPSILON = 1e-6

/**
 * What each team's task records take now. A record counts until it is proven that its task has left its machine, older
 * attempts included. Not shared: a scheduler adds what it places to a copy of its own.
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

    /** The same usage, to be added to independently. */
    fun copy() = TeamUsage(teams, HashMap(used))

    /** What the team uses. */
    fun of(team: String): Resources = used[team] ?: Resources.NONE

    /** Adds [resources] to what the team uses. */
    fun add(team: String, resources: Resources) {
        used[team] = of(team) + resources
    }

    /**
     * How many more tasks of size [taskResources] the team's limit admits now, less what is [kept] for others of it.
     * [Int.MAX_VALUE] without a limit, 0 for an unknown team.
     */
    fun remainingTasks(team: String, taskResources: Resources, kept: Resources = Resources.NONE): Int {
        val limits = teams[team] ?: return 0
        val usage = of(team) + kept
        return minOf(
            countFitting(limits.cpusMax, usage.cpus, taskResources.cpus),
            countFitting(limits.gpusMax, usage.gpus, taskResources.gpus),
        )
    }

    /** The team's use relative to its guarantee, or to one unit of each resource that it has less than that of. */
    fun guaranteeShare(team: String): Double {
        val guarantee = teams[team] ?: return 0.0
        val usage = of(team)
        return maxOf(usage.cpus / maxOf(1.0, guarantee.cpus), usage.gpus / maxOf(1.0, guarantee.gpus))
    }

    /** The team's use relative to its guarantee by its dominant resource, see [DominantShare]. */
    fun dominantShare(team: String): Double = of(team).let { DominantShare.of(it.cpus, it.gpus, teams[team]) }

    /** Whether the team uses more than its guarantee. A team without one borrows all that it uses. */
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
