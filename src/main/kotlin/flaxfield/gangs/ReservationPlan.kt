package flaxfield.gangs

import flaxfield.jobs.Job

/**
 * The machines that a gang needs, and how many of its tasks each one is for. More machines than one transaction may
 * change are reserved in several; a reservation starts nothing. Kept in memory by the leader: without its plan, a gang
 * that has only some of its machines reserved releases them.
 */
internal class ReservationPlan(
    val gangId: String,
    val attempt: Long,
    val tasksByMachine: Map<String, Int>,
    val evict: Boolean,
    nowNs: Long,
) {
    /** The largest number of its machines that were seen reserved at once. */
    private var reservedCount = 0

    /** When [reservedCount] last grew. */
    private var progressNs = nowNs

    /** Returns the machines of the plan that are not among [reserved], in the order of the plan. */
    fun missing(reserved: Set<String>): List<String> = tasksByMachine.keys.filter { it !in reserved }

    /** Records that [count] machines are reserved at [nowNs]. Returns for how long there has been no progress. */
    fun observe(count: Int, nowNs: Long): Long {
        if (count > reservedCount) {
            reservedCount = count
            progressNs = nowNs
        }
        return nowNs - progressNs
    }

    /** Whether the plan is for the attempt of [gang] that is to be placed next. */
    fun isFor(gang: Job): Boolean = gang.nextGangAttempt() == attempt
}
