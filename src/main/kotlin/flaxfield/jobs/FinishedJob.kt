package flaxfield.jobs

/** A job that is over, in its compact form: cancelled if [aborted], with [done] completed tasks. */
data class FinishedJob(val id: String, val aborted: Boolean, val done: Int)
