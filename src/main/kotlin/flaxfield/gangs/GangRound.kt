package flaxfield.gangs

import flaxfield.arrays.Seat
import flaxfield.arrays.ZoneRule
import flaxfield.jobs.Job

/** The outcome of one round for one gang. */
sealed interface Round {
    /** Every member has a seat. */
    data class Full(val seats: Map<Int, Seat>) : Round

    /** The minimum can't be reached; all assumed room has been given back. */
    data class Short(val assumed: Int, val left: Int) : Round
}

/** Pure: whether a gang should rather wait for a machine with its image than fetch it elsewhere. */
object WarmWait {
    /**
     * True if a start with the fetch would miss the tightest of [aimsS] anyway, there is time left to meet it
     * without, and enough machines with the image are in use: [busyWarm] for [rivals] tasks that want one.
     */
    fun waits(ageS: Double, fetchS: Double, aimsS: List<Double>, busyWarm: Int, rivals: Int): Boolean {
        val tight = aimsS.minOrNull() ?: return false
        return ageS + fetchS > tight && ageS < tight * LAST_CALL && busyWarm >= rivals * CHANCES
    }

    /** After this share of the aim the gang takes what there is. */
    private const val LAST_CALL = 0.9

    /** Of this many machines in use one is likely free again in time. */
    private const val CHANCES = 2
}

/** Pure: the gang's count gate and its one round with early stop. */
object GangRound {
    /** The gate: the record must list at least the minimum count of tasks. */
    fun gate(job: Job, listed: Int = job.spec.taskCount): Boolean = listed >= minimum(job)

    /** Starts at the task count; a later request to lower it would come in here. */
    fun minimum(job: Job): Int = job.spec.taskCount

    /**
     * Assumes a seat for each task in turn and stops once tasks left plus tasks assumed fall below the
     * minimum. With `same_place` each zone is tried, the one with the most free seats first.
     */
    fun run(job: Job, seats: List<Seat>): Round {
        val spec = job.spec
        val fit = seats.filter {
            ZoneRule.kindAllowed(spec, it.machine.machineType, it.machine.zone, it.machine.preemptible) &&
                it.machine.name !in job.errorHosts &&
                it.free.holds(spec.need)
        }
        if (!spec.sameZone) return oneRound(job, fit)
        var best = Round.Short(0, spec.taskCount)
        val zones = fit.groupBy { it.machine.zone }.values
            .sortedWith(
                compareByDescending<List<Seat>> { z ->
                    z.any { spec.image in it.images }
                }.thenByDescending { it.size },
            )
        for (zone in zones) {
            when (val r = oneRound(job, zone)) {
                is Round.Full -> return r
                is Round.Short -> if (r.assumed > best.assumed) best = r
            }
        }
        return best
    }

    private fun oneRound(job: Job, fit: List<Seat>): Round {
        val spec = job.spec
        val rule = ZoneRule(spec, emptyList())
        val assumed = LinkedHashMap<Int, Seat>()
        val minimum = minimum(job)
        // Early stop before the first task: without scatter the seats' room alone tells that the minimum is out of
        // reach.
        val room = fit.sumOf { minOf(it.free.count(spec.need), spec.taskCount) }
        if (room < minimum && !spec.scatter) return Round.Short(room, minimum - room - 1)
        val order = fit.sortedWith(
            compareBy<Seat> { if (spec.image in it.images) 0 else 1 }
                .thenBy { if (it.empty) 0 else 1 }
                .thenBy { if (spec.preemptible && !it.machine.preemptible) 1 else 0 }
                .thenBy { it.free.gpus }
                .thenBy { it.free.cpus }
                .thenBy { it.machine.name },
        )
        for (task in 0 until spec.taskCount) {
            val seat = order.firstOrNull { it.free.holds(spec.need) && rule.allows(it.machine.zone) }
            if (seat != null) {
                seat.free -= spec.need
                rule.add(seat.machine.zone)
                assumed[task] = seat
            }
            val left = spec.taskCount - task - 1
            if (left + assumed.size < minimum) {
                for (s in assumed.values) s.free += spec.need
                return Round.Short(assumed.size, left)
            }
        }
        return Round.Full(assumed)
    }
}
