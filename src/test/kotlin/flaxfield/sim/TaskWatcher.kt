package flaxfield.sim

import flaxfield.jobs.JobSpec

/** Told of what happens to tasks on machines. */
interface TaskWatcher {
    /** The task has its image and is on its machine from now on. */
    fun starts(spec: JobSpec, index: Int, machine: SimMachine) = Unit

    /** The task does its work from now on. */
    fun runs(spec: JobSpec, index: Int)

    /** The worker was told to stop the task, and to let it save a checkpoint for [gracePeriodS]. */
    fun halted(spec: JobSpec, index: Int, gracePeriodS: Double)

    /** The task is on its machine no more, for whatever reason. */
    fun left(spec: JobSpec, index: Int)

    /** The task has done its work; called before it leaves its machine. */
    fun done(spec: JobSpec, index: Int)
}
