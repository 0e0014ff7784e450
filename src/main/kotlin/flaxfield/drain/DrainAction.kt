package flaxfield.drain

import flaxfield.fleet.Machine

/** What the leader should commit next for one drain. */
sealed interface DrainAction {
    val drain: DrainRecord

    /** Records how many machines the drain is for; a [target] of 0 fails the drain. */
    data class SetTarget(override val drain: DrainRecord, val target: Int) : DrainAction

    /** Keeps new work off [machines]. */
    data class Cordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Stops [units] on [machines], as many of them as one transaction holds; each is charged to its team. */
    data class Evict(override val drain: DrainRecord, val machines: List<Machine>, val units: List<DisruptionUnit>) :
        DrainAction

    /** Hands empty [machines] over to scale-in. */
    data class Retire(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Opens [machines] to new work again. */
    data class Uncordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Nothing is left to do: the drain ends in [phase]. */
    data class Finish(override val drain: DrainRecord, val phase: DrainPhase) : DrainAction
}

/** The actions of all drains at one revision, and by drain and machine why what waits does so. */
data class DrainPlan(val actions: List<DrainAction>, val waits: Map<String, Map<String, WaitReason>>)
