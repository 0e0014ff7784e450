package flaxfield.jobs

import flaxfield.NANOS_PER_MILLI
import flaxfield.controller.ControllerContext
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** What the store holds of a job that is not in the view. */
sealed interface FinishedJobResult {
    /** It is finished. */
    data class Known(val job: FinishedJob) : FinishedJobResult

    /** Never accepted. */
    data object Absent : FinishedJobResult

    /** Not found out: too many requests, or the store does not respond. */
    data object Unclear : FinishedJobResult
}

/**
 * Looks for jobs among the finished ones in the store. One compare asks for many ids at once, and only those that exist
 * are read: read one by one, polls for ids that nobody submitted would use up this process's requests.
 *
 * @param onFound called with each job that is read
 */
class FinishedJobLookup(private val context: ControllerContext, private val onFound: (FinishedJob) -> Unit) {
    private class Query(val sinceNs: Long, val done: (FinishedJobResult) -> Unit)

    /** Open queries by job id, in the order of each id's first. */
    private val queriesById = LinkedHashMap<String, ArrayList<Query>>()
    private var queryCount = 0
    private var isComparing = false
    private var readsInFlight = 0
    private var nextCompareNs = 0L

    /** Looks for the job with this [id]; [done] is called once, possibly at once. */
    fun ask(id: String, done: (FinishedJobResult) -> Unit) {
        if (queryCount >= MAX_QUERIES) return done(FinishedJobResult.Unclear)
        queryCount++
        queriesById.getOrPut(id) { ArrayList() } += Query(context.nowNs, done)
        run()
    }

    /** Sends what may be sent now, and gives up on queries that took too long. */
    fun run() {
        if (queriesById.isEmpty()) return
        expire()
        if (isComparing || queriesById.isEmpty() || context.nowNs < nextCompareNs) return
        if (!context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)) return
        compare()
    }

    private fun expire() {
        val expiryNs = context.nowNs - MAX_WAIT_MS * NANOS_PER_MILLI
        for (id in queriesById.filterValues { it.first().sinceNs < expiryNs }.keys) {
            finish(id, FinishedJobResult.Unclear)
        }
    }

    private fun compare() {
        isComparing = true
        nextCompareNs = context.nowNs + COMPARE_GAP_MS * NANOS_PER_MILLI
        val ids = queriesById.keys.take(context.settings.stateLimits.txnOps * CONDITIONS_PER_OPERATION)
        val sent = ids.associateWith { queriesById.getValue(it).toList() }
        context.store.existingKeys(ids.map { StoreKeys.FINISHED_JOB + it }) { existingKeys ->
            context.post {
                isComparing = false
                if (existingKeys != null) context.storeContact.noteResponse()
                for ((id, queries) in sent) {
                    when {
                        existingKeys == null -> finish(id, FinishedJobResult.Unclear, queries)
                        StoreKeys.FINISHED_JOB + id in existingKeys -> read(id, queries)
                        else -> finish(id, FinishedJobResult.Absent, queries)
                    }
                }
                run()
            }
        }
    }

    private fun read(id: String, queries: List<Query>) {
        if (readsInFlight >= MAX_READS || !context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)) {
            return finish(id, FinishedJobResult.Unclear, queries)
        }
        readsInFlight++
        context.store.get(StoreKeys.FINISHED_JOB + id) { result ->
            context.post {
                readsInFlight--
                finish(id, decode(id, result), queries)
            }
        }
    }

    private fun decode(id: String, result: ReadResult): FinishedJobResult = when (result) {
        is ReadResult.Found -> FinishedJobResult.Known(JobCodec.decodeFinished(id, result.value).also(onFound))
        is ReadResult.Absent -> FinishedJobResult.Absent
        is ReadResult.Failed -> FinishedJobResult.Unclear
    }

    /** Ends [queries] for [id], or all of them; those that came after a compare was sent wait for the next. */
    private fun finish(
        id: String,
        result: FinishedJobResult,
        queries: List<Query> = queriesById[id].orEmpty().toList(),
    ) {
        val open = queriesById[id] ?: return
        val finished = queries.filter { it in open }
        open.removeAll(finished.toSet())
        if (open.isEmpty()) queriesById.remove(id)
        queryCount -= finished.size
        for (query in finished) query.done(result)
    }

    private companion object {
        const val MAX_QUERIES = 256
        const val MAX_READS = 8

        /** PROTOCOL-flaxfield.md: four times as many conditions as changes in a transaction. */
        const val CONDITIONS_PER_OPERATION = 4

        /** Users wait 2 s for the response to a poll, of which the read of the view takes a part. */
        const val MAX_WAIT_MS = 1_200L
        const val COMPARE_GAP_MS = 100L
    }
}
