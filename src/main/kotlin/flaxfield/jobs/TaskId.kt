package flaxfield.jobs

/** One task of one job, by its index in the job. */
data class TaskId(val job: String, val index: Int)
