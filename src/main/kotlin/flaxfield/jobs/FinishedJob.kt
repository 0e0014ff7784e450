package flaxfield.jobs

/** The compact record of a finished job: it was cancelled if [aborted], and [done] of its tasks completed. */
data class FinishedJob(val id: String, val aborted: Boolean, val done: Int)
