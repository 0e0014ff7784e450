package flaxfield.zones

import kotlin.math.ceil

/** Computes how many machines of a returning zone may get new tasks: the share grows step by step. Pure functions. */
object ReturnRamp {
    /** The step of a zone that sends no heartbeats and is probed with [PROBE_MACHINES]. */
    const val PROBE_STEP = 0

    /** The first step of a zone that sends heartbeats again. */
    const val FIRST_STEP = 1

    /** Enough to see whether machines boot in the zone. Each costs a failed boot while the zone is still down. */
    const val PROBE_MACHINES = 2

    /** The share of its machines that a zone opens at [FIRST_STEP]. Each further step doubles it. */
    private const val FIRST_SHARE = 0.125

    private const val MAX_DOUBLINGS = 3

    /** Whether [step] opens all machines. */
    fun isComplete(step: Int): Boolean = step >= FIRST_STEP + MAX_DOUBLINGS

    /** Returns how many machines in the zone of [record] may get new tasks, or null if all may. */
    fun limit(record: ZoneRecord): Int? = when {
        record.isClosed -> 0
        record.state == ZoneState.HEALTHY -> null
        record.step <= PROBE_STEP -> PROBE_MACHINES
        else -> ceil(record.machines * openShare(record.step)).toInt().coerceAtLeast(PROBE_MACHINES)
    }

    /** Returns the step at which a zone that was lost again at [step] starts its next return, with half the share. */
    fun stepAfterLoss(step: Int): Int = (step - 1).coerceAtLeast(FIRST_STEP)

    private fun openShare(step: Int): Double = FIRST_SHARE * (1 shl (step - FIRST_STEP).coerceAtMost(MAX_DOUBLINGS))
}
