package flaxfield.controller

import flaxfield.fleet.CapacityDemand
import flaxfield.store.Change
import flaxfield.workers.WorkerHealth

/**
 * The scheduler's interface to the functions that the operators' fleet file enables. Its only implementation is loaded
 * only with a fleet file. All methods are called on the owner thread.
 */
interface Subsystem {
    /** Runs the recurring work of the subsystem; called at each tick of the controller. */
    fun tick()

    /** Called when the view is complete up to a new revision. */
    fun onViewAdvanced()

    /** Returns the work for which machines should be rented in advance. */
    fun demands(): List<CapacityDemand>

    /** Returns the change that records a loss of tasks; each transaction that commits such a loss includes it. */
    fun lossRecord(): Change
}

/** Creates the subsystem of one controller. */
fun interface SubsystemFactory {
    /** Creates the subsystem from the [parts] of its controller. */
    fun create(parts: SubsystemParts): Subsystem
}

/** The parts of a controller that its subsystem uses. */
class SubsystemParts(val context: ControllerContext, val health: WorkerHealth)
