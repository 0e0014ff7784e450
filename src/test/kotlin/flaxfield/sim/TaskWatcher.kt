package flaxfield.sim

import flaxfield.jobs.JobSpec

/** Observes the lifecycle of tasks on machines. By default, it ignores all events. */
interface TaskWatcher {
    /** Called when the task has pulled its image and starts to occupy its machine. */
    fun onStarted(spec: JobSpec, index: Int, machine: SimMachine) = Unit

    /** Called when the task starts its work. */
    fun onRunning(spec: JobSpec, index: Int) = Unit

    /** Called when the worker is ordered to stop the task, with [gracePeriodS] to save a checkpoint. */
    fun onHalting(spec: JobSpec, index: Int, gracePeriodS: Double) = Unit

    /** Called when the task leaves its machine, for any reason. */
    fun onRemoved(spec: JobSpec, index: Int) = Unit

    /** Called when the task has completed its work, before it leaves its machine. */
    fun onCompleted(spec: JobSpec, index: Int) = Unit
}
