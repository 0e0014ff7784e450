package flaxfield.jobs

import flaxfield.NANOS_PER_MILLI
import flaxfield.controller.ControllerContext
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** The outcome of a lookup in the store of a job that is not in the view. */
sealed interface FinishedJobLookupResult {
    /** The job is finished. */
    data class Found(val job: FinishedJob) : FinishedJobLookupResult

    /** The job was never accepted. */
    data object Absent : FinishedJobLookupResult

    /** The outcome is unknown: there were too many requests, or the store did not respond. */
    data object Unavailable : FinishedJobLookupResult
}

/**
 * Looks up finished jobs in the store. One transaction checks which of many ids exist, and only their records are read.
 * With one read for each id, polls for unknown ids would use up this process's request budget.
 *
 * @param onFound called with each job that was read
 */
class FinishedJobLookup(private val context: ControllerContext, private val onFound: (FinishedJob) -> Unit) {
    private class Query(val sinceNs: Long, val done: (FinishedJobLookupResult) -> Unit)

    /** Open queries by job id, in the order in which the ids were first queried. */
    private val queriesById = LinkedHashMap<String, ArrayList<Query>>()
    private var queryCount = 0
    private var isComparing = false
    private var readsInFlight = 0
    private var nextCompareNs = 0L

    /** Looks up the job with this [id]. Calls [done] exactly once, possibly before it returns. */
    fun lookUp(id: String, done: (FinishedJobLookupResult) -> Unit) {
        if (queryCount >= MAX_QUERIES) return done(FinishedJobLookupResult.Unavailable)
        queryCount++
        queriesById.getOrPut(id) { ArrayList() } += Query(context.nowNs, done)
        run()
    }

    /** Fails queries that timed out, and sends the next compare if one is due and the budget allows it. */
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
            complete(id, FinishedJobLookupResult.Unavailable)
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
                        existingKeys == null -> complete(id, FinishedJobLookupResult.Unavailable, queries)
                        StoreKeys.FINISHED_JOB + id in existingKeys -> read(id, queries)
                        else -> complete(id, FinishedJobLookupResult.Absent, queries)
                    }
                }
                run()
            }
        }
    }

    private fun read(id: String, queries: List<Query>) {
        if (readsInFlight >= MAX_READS || !context.transactions.budget.take(WriteCause.READ, 0, context.nowNs)) {
            return complete(id, FinishedJobLookupResult.Unavailable, queries)
        }
        readsInFlight++
        context.store.get(StoreKeys.FINISHED_JOB + id) { result ->
            context.post {
                readsInFlight--
                complete(id, decode(id, result), queries)
            }
        }
    }

    private fun decode(id: String, result: ReadResult): FinishedJobLookupResult = when (result) {
        is ReadResult.Found -> FinishedJobLookupResult.Found(JobCodec.decodeFinished(id, result.value).also(onFound))
        is ReadResult.Absent -> FinishedJobLookupResult.Absent
        is ReadResult.Failed -> FinishedJobLookupResult.Unavailable
    }

    /** Completes [queries] for [id], by default all. Those that arrived after a compare was sent wait for the next. */
    private fun complete(
        id: String,
        result: FinishedJobLookupResult,
        queries: List<Query> = queriesById[id].orEmpty().toList(),
    ) {
        val openQueries = queriesById[id] ?: return
        val completed = queries.filter { it in openQueries }
        openQueries.removeAll(completed.toSet())
        if (openQueries.isEmpty()) queriesById.remove(id)
        queryCount -= completed.size
        for (query in completed) query.done(result)
    }

    private companion object {
        const val MAX_QUERIES = 256
        const val MAX_READS = 8

        /** PROTOCOL-flaxfield.md: a transaction may have four times as many conditions as changes. */
        const val CONDITIONS_PER_OPERATION = 4

        /** Users wait 2 s for the response to a poll, and the read of the view takes part of that time. */
        const val MAX_WAIT_MS = 1_200L
        const val COMPARE_GAP_MS = 100L
    }
}
