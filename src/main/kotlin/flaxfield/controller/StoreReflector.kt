package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.jobs.JobRequestHandler
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreKeys
import flaxfield.store.WatchResult
import flaxfield.store.WriteCause
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/**
 * Keeps the replica of the store up to date: a paged list first, then one watch after another over the same prefix.
 * Where the store no longer keeps the changes that a watch needs, it lists anew. Owned by the owner thread.
 */
class StoreReflector(
    private val context: ControllerContext,
    private val replica: ClusterReplica,
    private val jobs: JobRequestHandler,
    private val workerHealth: WorkerHealth,
) {
    /** The view has been complete at least once; read by the network thread as well. */
    @Volatile
    var hasSynced = false
        private set
    private val lister = StoreLister(context, replica, ::onListed, ::retryLater)
    private val probe = RevisionProbe(context)
    private var isWatching = false
    private var nextNs = 0L

    /**
     * Opened watches count as requests: they take at most a fixed share of this controller's part of the rate. Nor need
     * the view be newer than decisions are made.
     */
    private val watchGapNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * WATCH_SHARE / context.settings.size)).toLong(),
        Controller.MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI,
    )

    /** Begins to list; what was held before is forgotten. */
    fun start() = lister.start()

    /** Lists or watches anew where that is due. */
    fun tick() {
        if (lister.isComplete && !lister.isListing) probe.tick()
        if (isWatching || lister.isListing || context.nowNs < nextNs) return
        if (lister.isComplete) watch() else start()
    }

    private fun onListed(first: ULong, last: ULong) {
        if (first == last) {
            advance(last)
        } else {
            // Later pages may hold parts of newer changes: the view is not complete before the first watch.
            replica.advance(first)
            context.viewFreshness.reached(first)
        }
        log.info(
            "event=view_listed revision={} jobs={} machines={}",
            first,
            context.view.jobs.size,
            context.view.machines.size,
        )
        tick()
    }

    private fun retryLater() {
        nextNs = context.nowNs + RETRY_MS * NANOS_PER_MILLI
    }

    private fun watch() {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return
        isWatching = true
        val sentNs = context.nowNs
        nextNs = sentNs + watchGapNs
        context.store.watch(StoreKeys.LIVE, context.view.revision, BLOCK_MS) { result ->
            context.post { takeTimed(result, sentNs) }
        }
    }

    private fun takeTimed(result: WatchResult, sentNs: Long) {
        val startNs = System.nanoTime()
        take(result, sentNs)
        context.stats.addDutyTime("view", System.nanoTime() - startNs)
    }

    private fun take(result: WatchResult, sentNs: Long) {
        isWatching = false
        when (result) {
            is WatchResult.Changes -> takeChanges(result, sentNs)
            is WatchResult.Compacted -> {
                log.info("event=view_compacted revision={}", context.view.revision)
                start()
            }
            is WatchResult.Failed -> retryLater()
        }
    }

    private fun takeChanges(changes: WatchResult.Changes, sentNs: Long) {
        context.storeContact.noteResponse()
        for (item in changes.items) {
            replica.apply(item)
            if (isDeletedMachine(item)) workerHealth.forget(item.key.removePrefix(StoreKeys.MACHINE))
        }
        context.viewFreshness.read(sentNs, changes.revision)
        advance(changes.revision)
        tick()
    }

    private fun isDeletedMachine(item: KeyUpdate) = item.value == null && item.key.startsWith(StoreKeys.MACHINE)

    /** The view holds all changes up to [revision]: whoever waits for that goes on. */
    private fun advance(revision: ULong) {
        replica.advance(revision)
        context.viewFreshness.reached(context.view.revision)
        hasSynced = true
        context.decisions.request()
        context.transactions.releaseSettledKeys()
        jobs.onViewAdvanced()
        context.subsystem?.onViewAdvanced()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /** How long the store holds a watch open while nothing changes. */
        const val BLOCK_MS = 10_000L

        /** How long a failed list or watch waits for its next try. */
        const val RETRY_MS = 250L

        /** The share of the request rate that watches may take. */
        const val WATCH_SHARE = 0.25
    }
}
