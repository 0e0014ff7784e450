package flaxfield.jobs

/** Identifies a task by the id of its job and its index in the job. */
data class TaskId(val job: String, val index: Int)
