package flaxfield.zones

import kotlin.math.ceil

/** Pure: how many of a zone's machines may get new work while it returns. */
object ReturnRamp {
    /** The step at which a zone that is not heard is tried anew with [TRIAL_MACHINES]. */
    const val TRIAL = 0

    /** The first step of a zone that is heard again. */
    const val FIRST = 1

    /** Enough to see whether machines come up there; each costs a boot in vain while the zone is still away. */
    const val TRIAL_MACHINES = 2

    /** The share of its machines that a zone starts with; each step doubles it. */
    private const val FIRST_SHARE = 0.125

    /** The share of the machines at [step]. */
    private fun share(step: Int): Double = FIRST_SHARE * (1 shl (step - FIRST).coerceAtMost(MAX_DOUBLINGS))

    private const val MAX_DOUBLINGS = 3

    /** Whether [step] already opens all machines. */
    fun isWhole(step: Int): Boolean = step >= FIRST + MAX_DOUBLINGS

    /** The machines of the zone of [record] that may get new work now; null if all may. */
    fun limit(record: ZoneRecord): Int? = when {
        record.closed -> 0
        record.state == ZoneState.HEALTHY -> null
        record.step <= TRIAL -> TRIAL_MACHINES
        else -> ceil(record.machines * share(record.step)).toInt().coerceAtLeast(TRIAL_MACHINES)
    }

    /** The step with which a zone begins its next return if it is lost at [step]: half of what it had. */
    fun afterLoss(step: Int): Int = (step - 1).coerceAtLeast(FIRST)
}
