package flaxfield.operator

import flaxfield.controller.ControllerContext
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.JobCodec
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** What a look for a job that is over has found. */
sealed interface FinishedLook {
    data class Found(val job: FinishedJob) : FinishedLook

    data object Absent : FinishedLook

    /** The state service has not answered, or may not be asked now. */
    data object Unclear : FinishedLook
}

/** Reads jobs that are over from the state service, one by one; the owner thread calls it. */
class FinishedJobReader(private val context: ControllerContext) {
    /** Looks for the job called [id], which is no longer in the view. */
    fun find(id: String, done: (FinishedLook) -> Unit) {
        if (!context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)) return done(FinishedLook.Unclear)
        context.store.get(StoreKeys.FINISHED_JOB + id) { read ->
            context.post {
                done(
                    when (read) {
                        is ReadResult.Found -> FinishedLook.Found(JobCodec.decodeFinished(id, read.value))
                        is ReadResult.Absent -> FinishedLook.Absent
                        is ReadResult.Failed -> FinishedLook.Unclear
                    },
                )
            }
        }
    }
}
