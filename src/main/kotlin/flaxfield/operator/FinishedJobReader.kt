package flaxfield.operator

import flaxfield.jobs.Finished
import flaxfield.jobs.JobCodec
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Read
import flaxfield.store.StoreKeys

/** What a look for a job that is over has found. */
sealed interface FinishedLook {
    data class Found(val job: Finished) : FinishedLook

    data object Absent : FinishedLook

    /** The state service has not answered, or may not be asked now. */
    data object Unclear : FinishedLook
}

/** Reads jobs that are over from the state service, one by one; the owner thread calls it. */
class FinishedJobReader(private val context: NodeContext) {
    /** Looks for the job called [id], which is no longer in the view. */
    fun find(id: String, done: (FinishedLook) -> Unit) {
        if (!context.budget.take(Cause.READ, 0, context.nowNs)) return done(FinishedLook.Unclear)
        context.store.get(StoreKeys.OVER + id) { read ->
            context.post {
                done(
                    when (read) {
                        is Read.Found -> FinishedLook.Found(JobCodec.decodeFinished(id, read.value))
                        is Read.Absent -> FinishedLook.Absent
                        is Read.Failed -> FinishedLook.Unclear
                    },
                )
            }
        }
    }
}
