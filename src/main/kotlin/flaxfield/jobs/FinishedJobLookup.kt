package flaxfield.jobs

import flaxfield.NANOS_PER_MILLI
import flaxfield.controller.ControllerContext
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** What the store says of a job that is not in the view. */
sealed interface FinishedJobResult {
    data class Known(val job: FinishedJob) : FinishedJobResult

    /** Never accepted. */
    data object Absent : FinishedJobResult

    /** Not found out: too many ask, or the store does not answer. */
    data object Unclear : FinishedJobResult
}

/**
 * Looks for jobs among those that are over. One comparison asks for many ids at once, and only those that it finds are
 * read: asked one by one, polls for ids that nobody submitted used up the node's requests.
 */
class FinishedJobLookup(private val context: ControllerContext, private val found: (FinishedJob) -> Unit) {
    private class Ask(val sinceNs: Long, val done: (FinishedJobResult) -> Unit)

    private val waiting = LinkedHashMap<String, ArrayList<Ask>>()
    private var asks = 0
    private var comparing = false
    private var reading = 0
    private var nextNs = 0L

    /** [done] is called once. */
    fun ask(id: String, done: (FinishedJobResult) -> Unit) {
        if (asks >= MAX_ASKS) return done(FinishedJobResult.Unclear)
        asks++
        waiting.getOrPut(id) { ArrayList() } += Ask(context.nowNs, done)
        run()
    }

    /** Sends what may be sent now, and gives up on what has waited too long. */
    fun run() {
        if (waiting.isEmpty()) return
        val before = context.nowNs - WAIT_MS * NANOS_PER_MILLI
        for (id in waiting.filterValues { it.first().sinceNs < before }.keys) finish(id, FinishedJobResult.Unclear)
        if (comparing || waiting.isEmpty() || context.nowNs < nextNs) return
        if (!context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)) return
        comparing = true
        nextNs = context.nowNs + GAP_MS * NANOS_PER_MILLI
        val ids = waiting.keys.take(context.settings.stateLimits.txnOps * CONDITIONS)
        val sent = ids.associateWith { waiting.getValue(it).toList() }
        context.store.existingKeys(ids.map { StoreKeys.FINISHED_JOB + it }) { existingKeys ->
            context.post {
                comparing = false
                if (existingKeys != null) context.storeContact.noteResponse()
                for ((id, asked) in sent) {
                    when {
                        existingKeys == null -> finish(id, FinishedJobResult.Unclear, asked)
                        StoreKeys.FINISHED_JOB + id in existingKeys -> read(id, asked)
                        else -> finish(id, FinishedJobResult.Absent, asked)
                    }
                }
                run()
            }
        }
    }

    private fun read(id: String, asked: List<Ask>) {
        if (reading >= MAX_READS ||
            !context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)
        ) {
            return finish(id, FinishedJobResult.Unclear, asked)
        }
        reading++
        context.store.get(StoreKeys.FINISHED_JOB + id) { read ->
            context.post {
                reading--
                val ended = when (read) {
                    is ReadResult.Found -> FinishedJobResult.Known(JobCodec.decodeFinished(id, read.value).also(found))
                    is ReadResult.Absent -> FinishedJobResult.Absent
                    is ReadResult.Failed -> FinishedJobResult.Unclear
                }
                finish(id, ended, asked)
            }
        }
    }

    /** Answers [asked], or all who ask for [id]; those who came after a comparison was sent wait for the next. */
    private fun finish(id: String, ended: FinishedJobResult, asked: List<Ask> = waiting[id].orEmpty().toList()) {
        val open = waiting[id] ?: return
        val answered = asked.filter { it in open }
        open.removeAll(answered.toSet())
        if (open.isEmpty()) waiting.remove(id)
        asks -= answered.size
        for (a in answered) a.done(ended)
    }

    private companion object {
        const val MAX_ASKS = 256
        const val MAX_READS = 8

        /** PROTOCOL-flaxfield.md: four times as many conditions as changes in a transaction. */
        const val CONDITIONS = 4

        /** Users wait 2 s for a poll's answer, and the view was waited for before. */
        const val WAIT_MS = 1_200L
        const val GAP_MS = 100L
    }
}
