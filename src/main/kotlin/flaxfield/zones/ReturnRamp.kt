package flaxfield.zones

import kotlin.math.ceil

/** Pure: the growing number of a zone's machines that may get new work while it returns. */
object ReturnRamp {
    /** The step of a zone from which no heartbeats come, and which is tried with [TRIAL_MACHINES]. */
    const val TRIAL = 0

    /** The first step of a zone from which heartbeats come again. */
    const val FIRST = 1

    /** Enough to see whether machines boot there; each costs a boot in vain while the zone is still down. */
    const val TRIAL_MACHINES = 2

    /** The share of its machines with which a zone starts; each step doubles it. */
    private const val FIRST_SHARE = 0.125

    private const val MAX_DOUBLINGS = 3

    /** Whether [step] opens all machines. */
    fun isComplete(step: Int): Boolean = step >= FIRST + MAX_DOUBLINGS

    /** How many machines of the zone of [record] may get new work now; null if all may. */
    fun limit(record: ZoneRecord): Int? = when {
        record.isClosed -> 0
        record.state == ZoneState.HEALTHY -> null
        record.step <= TRIAL -> TRIAL_MACHINES
        else -> ceil(record.machines * share(record.step)).toInt().coerceAtLeast(TRIAL_MACHINES)
    }

    /** The step at which a zone that is lost again at [step] begins its next return: half of the share it had. */
    fun stepAfterLoss(step: Int): Int = (step - 1).coerceAtLeast(FIRST)

    private fun share(step: Int): Double = FIRST_SHARE * (1 shl (step - FIRST).coerceAtMost(MAX_DOUBLINGS))
}
