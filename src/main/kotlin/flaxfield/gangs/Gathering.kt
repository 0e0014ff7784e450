package flaxfield.gangs

import flaxfield.arrays.Seat
import flaxfield.arrays.ZoneRule
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room

/**
 * Pure: room kept together for one large gang. Without it, each machine that came free went to a smaller
 * gang that fitted at once, and the largest ones waited for ever.
 */
object Gathering {
    /** The gang to gather for: the largest of those submitted before [lateMs], the oldest of these. */
    fun next(waiting: Collection<Job>, lateMs: Long): Job? = waiting.filter { it.submittedMs < lateMs && it.spec.shards > 1 && !it.suspect }
        .minWithOrNull(compareBy({ -it.spec.shards }, { it.submittedMs }, { it.id }))

    /**
     * Whether [job] leaves its team's limit to a gang that gathers and is kept from starting by that limit alone. Machines
     * were kept for such a gang instead, which it could not use, and an earlier gang of its team found none for minutes.
     */
    fun yields(job: Job, atLimit: Job): Boolean =
        job !== atLimit && job.spec.owner == atLimit.spec.owner && job.submittedMs > atLimit.submittedMs

    /**
     * [seats] less those that [job] will use: in the zone where it lacks the least, as many as it has tasks.
     * [cleared] are the same seats as they would be without the tasks that it may take the place of.
     */
    fun without(job: Job, seats: List<Seat>, cleared: List<Seat>): List<Seat> {
        val fit = cleared.filter { fits(job, it) }
        val zone = if (job.spec.samePlace) fit.groupBy { it.machine.site }.values.maxByOrNull { z -> tasks(job, z) } else fit
        val kept = HashSet<String>()
        var left = job.spec.shards
        for (s in zone.orEmpty().sortedWith(compareBy({ if (it.empty) 0 else 1 }, { it.machine.name }))) {
            if (left <= 0) break
            kept += s.machine.name
            left -= s.free.count(job.spec.need)
        }
        return seats.filter { it.machine.name !in kept }
    }

    private fun tasks(job: Job, seats: List<Seat>): Int {
        val most = job.spec.shards
        return minOf(most, seats.sumOf { minOf(it.free.count(job.spec.need), most) })
    }

    private fun fits(job: Job, s: Seat) = ZoneRule.kindAllowed(job.spec, s.machine.flavor, s.machine.site, s.machine.lendable) &&
        s.machine.name !in job.errorHosts &&
        s.free.holds(job.spec.need)
}

/**
 * Rounds of one run that fell short, so that gangs of the same shape, as large or larger, are not tried
 * again: a hundred of them parked cost the leader its whole share.
 */
class ShortRounds {
    private data class Shape(
        val need: Room,
        val flavors: Set<String>?,
        val site: String?,
        val samePlace: Boolean,
        val scatter: Boolean,
        val lendable: Boolean,
        val rights: String,
    )

    private val shortAt = HashMap<Shape, Int>()

    /** Rounds that were really run. */
    var runs = 0
        private set

    /** Runs [job]'s round over [seats], unless one like it is known to be short. [rights] tells what was cleared. */
    fun run(job: Job, rights: String, seats: () -> List<Seat>): Round {
        // Machines that failed this very job narrow its round: it tells nothing of the others.
        if (job.errorHosts.isNotEmpty()) {
            runs++
            return GangRound.run(job, seats())
        }
        val shape = shape(job.spec, rights)
        val known = shortAt[shape]
        if (known != null && job.spec.shards >= known) return Round.Short(0, job.spec.shards)
        runs++
        val r = GangRound.run(job, seats())
        if (r is Round.Short) shortAt[shape] = job.spec.shards
        return r
    }

    private fun shape(s: JobSpec, rights: String) = Shape(s.need, s.flavors, s.site, s.samePlace, s.scatter, s.lendable, rights)
}
