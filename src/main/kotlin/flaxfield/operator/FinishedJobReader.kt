package flaxfield.operator

import flaxfield.controller.ControllerContext
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.JobCodec
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** The outcome of a lookup of a finished job. */
sealed interface FinishedJobResult {
    /** The job is finished. */
    data class Found(val job: FinishedJob) : FinishedJobResult

    /** There is no such finished job. */
    data object Absent : FinishedJobResult

    /** The state service has not answered, or may not be asked now. */
    data object Unavailable : FinishedJobResult
}

/** Reads finished jobs from the state service, one by one; the owner thread calls it. */
class FinishedJobReader(private val context: ControllerContext) {
    /** Reads the job called [id], which is not in the view; [done] is called once, on the owner thread. */
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
