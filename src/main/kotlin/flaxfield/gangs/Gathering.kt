package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.Seat
import flaxfield.arrays.ZoneRule
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room
import flaxfield.quota.JobOrder

/**
 * Pure: room kept together for one large gang. Without it, each machine that came free went to a smaller
 * gang that fitted at once, and the largest ones waited for ever.
 */
object Gathering {
    /** A gang that has waited this share of [JobOrder.BEGIN_S] has room gathered for it. */
    private const val LATE_SHARE = 0.2

    /** Gangs submitted before this have room gathered for them. */
    fun lateMs(nowMs: Long): Long = nowMs - (JobOrder.BEGIN_S * LATE_SHARE * MILLIS_PER_SECOND).toLong()

    /**
     * [ordered] with the gang that room is gathered for at its head. Whoever rents machines must keep to the same
     * order: room was kept for one gang and rented for another, and neither ever began.
     */
    fun first(gathers: Job?, ordered: List<Job>): List<Job> =
        listOfNotNull(gathers) + ordered.filter { it.id != gathers?.id }

    /** The gang to gather for: the largest of those submitted before [lateMs], the oldest of these. */
    fun next(waiting: Collection<Job>, lateMs: Long): Job? = waiting.filter {
        it.submittedMs < lateMs &&
            it.spec.taskCount > 1 &&
            !it.suspect
    }
        .minWithOrNull(compareBy({ -it.spec.taskCount }, { it.submittedMs }, { it.id }))

    /**
     * Whether [job] leaves its team's limit to a gang that gathers and is kept from starting by that limit alone.
     * Machines were kept for such a gang instead, which it could not use, and an earlier gang of its team found none
     * for minutes.
     */
    fun yields(job: Job, atLimit: Job): Boolean =
        job !== atLimit && job.spec.owner == atLimit.spec.owner && job.submittedMs > atLimit.submittedMs

    /**
     * [seats] less those that [job] will use: in the zone where it lacks the least, as many as it has tasks.
     * [cleared] are the same seats as they would be without the tasks that it may take the place of.
     */
    fun without(job: Job, seats: List<Seat>, cleared: List<Seat>): List<Seat> {
        val fit = cleared.filter { fits(job, it) }
        val zone = if (job.spec.sameZone) {
            fit.groupBy {
                it.machine.zone
            }.values.maxByOrNull { z -> tasks(job, z) }
        } else {
            fit
        }
        val kept = HashSet<String>()
        var left = job.spec.taskCount
        for (s in zone.orEmpty().sortedWith(compareBy({ if (it.empty) 0 else 1 }, { it.machine.name }))) {
            if (left <= 0) break
            kept += s.machine.name
            left -= s.free.count(job.spec.need)
        }
        return seats.filter { it.machine.name !in kept }
    }

    private fun tasks(job: Job, seats: List<Seat>): Int {
        val most = job.spec.taskCount
        return minOf(most, seats.sumOf { minOf(it.free.count(job.spec.need), most) })
    }

    private fun fits(job: Job, s: Seat) =
        ZoneRule.kindAllowed(job.spec, s.machine.machineType, s.machine.zone, s.machine.preemptible) &&
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
        val machineTypes: Set<String>?,
        val zone: String?,
        val sameZone: Boolean,
        val scatter: Boolean,
        val preemptible: Boolean,
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
        if (known != null && job.spec.taskCount >= known) return Round.Short(0, job.spec.taskCount)
        runs++
        val r = GangRound.run(job, seats())
        if (r is Round.Short) shortAt[shape] = job.spec.taskCount
        return r
    }

    private fun shape(s: JobSpec, rights: String) =
        Shape(s.need, s.machineTypes, s.zone, s.sameZone, s.scatter, s.preemptible, rights)
}
