package flaxfield.drain

import flaxfield.fleet.Machine

/** An action that the leader commits for one drain. */
sealed interface DrainAction {
    val drain: DrainRecord

    /** Records the number of machines to drain; a [target] of 0 fails the drain. */
    data class SetTarget(override val drain: DrainRecord, val target: Int) : DrainAction

    /** Cordons [machines], so that no new tasks are placed on them. */
    data class Cordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Evicts [units] from [machines], as many as one transaction holds, and charges them to their teams' ledgers. */
    data class Evict(override val drain: DrainRecord, val machines: List<Machine>, val units: List<DisruptionUnit>) :
        DrainAction

    /** Marks the empty [machines] for scale-in. */
    data class Retire(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Uncordons [machines], so that new tasks can be placed on them. */
    data class Uncordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Ends the drain in the final [phase]. */
    data class Finish(override val drain: DrainRecord, val phase: DrainPhase) : DrainAction
}

/** The actions of all drains at one revision, and the reasons why machines wait, by drain and machine. */
data class DrainPlan(val actions: List<DrainAction>, val waits: Map<String, Map<String, WaitReason>>)
