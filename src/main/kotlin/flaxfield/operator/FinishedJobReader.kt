package flaxfield.operator

import flaxfield.controller.ControllerContext
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.JobCodec
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** The result of looking up a finished job. */
sealed interface FinishedJobResult {
    /** The job exists and has finished. */
    data class Found(val job: FinishedJob) : FinishedJobResult

    /** No finished job of that id exists. */
    data object Absent : FinishedJobResult

    /** The state service did not respond, or the request budget does not allow a read now. */
    data object Unavailable : FinishedJobResult
}

/** Reads single finished jobs from the state service. Confined to the owner thread. */
class FinishedJobReader(private val context: ControllerContext) {
    /** Reads the job called [id], which is not in the view, and calls [done] exactly once, on the owner thread. */
    fun find(id: String, done: (FinishedJobResult) -> Unit) {
        if (!context.transactions.budget.take(
                WriteCause.READ,
                0,
                context.nowNs,
            )
        ) {
            return done(FinishedJobResult.Unavailable)
        }
        context.store.get(StoreKeys.FINISHED_JOB + id) { read ->
            context.post { done(result(id, read)) }
        }
    }

    private fun result(id: String, read: ReadResult): FinishedJobResult = when (read) {
        is ReadResult.Found -> FinishedJobResult.Found(JobCodec.decodeFinished(id, read.value))
        is ReadResult.Absent -> FinishedJobResult.Absent
        is ReadResult.Failed -> FinishedJobResult.Unavailable
    }
}
