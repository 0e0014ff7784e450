package flaxfield.controller

import flaxfield.fleet.CapacityDemand
import flaxfield.store.Change
import flaxfield.workers.WorkerHealth

/**
 * What the operators' fleet file switches on, as the scheduler sees it. Its one implementation is loaded only with such
 * a file; the owner thread calls all of it.
 */
interface Subsystem {
    /** Called at every tick. */
    fun tick()

    /** The view has reached a new revision and is complete. */
    fun onViewAdvanced()

    /** Work for which capacity is to be rented ahead. */
    fun demands(): List<CapacityDemand>

    /** The change that records a loss of tasks, to be part of each transaction that commits one. */
    fun lossRecord(): Change
}

/** Makes the subsystem of one controller. */
fun interface SubsystemFactory {
    /** Makes it from the [parts] of its controller. */
    fun create(parts: SubsystemParts): Subsystem
}

/** The parts of a controller that a subsystem works with. */
class SubsystemParts(val context: ControllerContext, val health: WorkerHealth)
