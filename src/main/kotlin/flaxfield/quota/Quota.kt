package flaxfield.quota

import flaxfield.MILLIS_PER_SECOND
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.settings.Team

/** What each team's task records take now, old attempts included: a record lasts until proof. */
class TeamUsage private constructor(
    private val teams: Map<String, Team>,
    private val used: HashMap<String, Resources>,
) {
    constructor(jobs: Collection<Job>, teams: Map<String, Team>) : this(teams, HashMap()) {
        for (j in jobs) if (j.placedCount > 0) add(j.spec.team, j.spec.taskResources * j.placedCount)
    }

    fun copy() = TeamUsage(teams, HashMap(used))

    fun of(team: String): Resources = used[team] ?: Resources.NONE

    fun add(team: String, room: Resources) {
        used[team] = of(team) + room
    }

    /**
     * How many more tasks of size [taskResources] the team's limit allows now, less what is [kept] for others of it.
     */
    fun allows(team: String, taskResources: Resources, kept: Resources = Resources.NONE): Int {
        val t = teams[team] ?: return 0
        val u = of(team) + kept
        return minOf(parts(t.cpusMax, u.cpus, taskResources.cpus), parts(t.gpusMax, u.gpus, taskResources.gpus))
    }

    /** The team's use relative to its guarantee, or to one unit where it has none. */
    fun share(team: String): Double {
        val t = teams[team] ?: return 0.0
        val u = of(team)
        return maxOf(u.cpus / maxOf(1.0, t.cpus), u.gpus / maxOf(1.0, t.gpus))
    }

    /** The team's use relative to its guarantee by its dominant resource, see [DominantShare]. */
    fun dominantShare(team: String): Double = of(team).let { DominantShare.of(it.cpus, it.gpus, teams[team]) }

    /** Whether the team uses more than its guarantee. A team without one borrows all that it has. */
    fun exceedsGuarantee(team: String): Boolean {
        val t = teams[team] ?: return true
        val u = of(team)
        return (u.cpus > t.cpus + EPSILON && t.cpus > 0) ||
            (u.gpus > t.gpus + EPSILON && t.gpus > 0) ||
            (t.cpus <= 0.0 && t.gpus <= 0.0)
    }

    private fun parts(limit: Double, used: Double, taskResources: Double): Int = if (limit <= 0.0 ||
        taskResources <= 0.0
    ) {
        Int.MAX_VALUE
    } else {
        ((limit - used + EPSILON) / taskResources).toInt().coerceAtLeast(0)
    }

    private companion object {
        const val EPSILON = 1e-6
    }
}

/** Pure: how much of its guarantee an amount is, by the resource of which it is the larger part. */
object DominantShare {
    /**
     * The share that [cpus] and [gpus] are of the guarantee of [team]. A resource that is not guaranteed does not
     * count; for a team without any guarantee one unit of each stands for it.
     */
    fun of(cpus: Double, gpus: Double, team: Team?): Double {
        if (team == null || team.cpus <= 0.0 && team.gpus <= 0.0) return maxOf(cpus, gpus)
        return maxOf(if (team.cpus > 0.0) cpus / team.cpus else 0.0, if (team.gpus > 0.0) gpus / team.gpus else 0.0)
    }
}

/** Pure: in which order jobs that wait are looked at. */
object JobOrder {
    /** The ids of the jobs that fit into their team's guarantee together with its earlier unfinished ones. */
    fun guaranteed(jobs: Collection<Job>, teams: Map<String, Team>): Set<String> {
        val result = HashSet<String>()
        for ((owner, list) in jobs.filter { !it.cancelled }.groupBy { it.spec.team }) {
            val t = teams[owner] ?: continue
            if (t.cpus <= 0.0 && t.gpus <= 0.0) continue
            var sum = Resources.NONE
            for (j in list.sortedWith(compareBy({ it.submittedMs }, { it.id }))) {
                sum += j.spec.taskResources * (j.spec.taskCount - j.doneCount)
                if ((t.cpus <= 0.0 || sum.cpus <= t.cpus + EPSILON) &&
                    (t.gpus <= 0.0 || sum.gpus <= t.gpus + EPSILON)
                ) {
                    result += j.id
                }
            }
        }
        return result
    }

    /** The operators ask that each class's largest jobs begin within four minutes. */
    const val BEGIN_S = 240.0

    /** A job that has waited this share of them without any task begun comes before all order. */
    private const val LATE_SHARE = 0.5

    /** Jobs submitted before this and not begun are late. */
    fun overdueBeforeMs(nowMs: Long): Long = nowMs - (BEGIN_S * LATE_SHARE * MILLIS_PER_SECOND).toLong()

    /**
     * Guarantee first, then priority, then classes of which something is expected ([hasObjective]), then the team that
     * uses the least share, then age. Before all of these
     * come jobs submitted before [overdueBeforeMs] that have not begun: none of the orders may starve one for ever.
     * After all of them come jobs that seem to be mistakes.
     */
    fun sort(
        jobs: Collection<Job>,
        guaranteed: Set<String>,
        use: TeamUsage,
        overdueBeforeMs: Long = 0,
        hasObjective: (String) -> Boolean = { true },
    ): List<Job> {
        val shares = HashMap<String, Double>()
        return jobs.map { j ->
            Place(
                j,
                last = j.isDeprioritized(overdueBeforeMs),
                late = j.submittedMs < overdueBeforeMs && j.placedCount == 0 && j.doneCount == 0,
                within = j.id in guaranteed,
                withoutObjective = !hasObjective(j.spec.jobClass),
                share = shares.getOrPut(j.spec.team) { use.share(j.spec.team) },
            )
        }.sortedWith(ORDER).map { it.job }
    }

    /** What a job's place depends on, worked out once and not at each comparison. */
    private class Place(
        val job: Job,
        val last: Boolean,
        val late: Boolean,
        val within: Boolean,
        val withoutObjective: Boolean,
        val share: Double,
    )

    private val ORDER = Comparator<Place> { a, b ->
        when {
            a.last != b.last -> if (a.last) 1 else -1
            a.late != b.late -> if (a.late) -1 else 1
            a.within != b.within -> if (a.within) -1 else 1
            a.job.spec.priority != b.job.spec.priority -> b.job.spec.priority.compareTo(a.job.spec.priority)
            a.withoutObjective != b.withoutObjective -> if (a.withoutObjective) 1 else -1
            a.share != b.share -> a.share.compareTo(b.share)
            a.job.submittedMs != b.job.submittedMs -> a.job.submittedMs.compareTo(b.job.submittedMs)
            else -> a.job.id.compareTo(b.job.id)
        }
    }

    /**
     * Whether [job] may take the place of a task of [other] ("Preemption" in PROTOCOL-flaxfield.md). Nobody makes way
     * for what seems to be a mistake.
     */
    fun mayPreempt(job: Job, jobGuaranteed: Boolean, other: Job, use: TeamUsage): Boolean = !job.isSuspect &&
        (
            job.spec.priority > other.spec.priority ||
                (jobGuaranteed && other.spec.team != job.spec.team && use.exceedsGuarantee(other.spec.team))
            )

    private const val EPSILON = 1e-6
}
