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
 * Keeps the replica of the store up to date: a paged list, then successive watches on the same prefix. If the store has
 * compacted the changes that a watch needs, the list is repeated. Used only by the owner thread.
 */
class StoreReflector(
    private val context: ControllerContext,
    private val replica: ClusterReplica,
    private val jobs: JobRequestHandler,
    private val workerHealth: WorkerHealth,
) {
    /** Whether the view has been complete at least once; also read by the network thread. */
    @Volatile
    var hasSynced = false
        private set
    private val lister = StoreLister(context, replica, ::onListed, ::retryLater)
    private val probe = RevisionProbe(context)
    private var isWatching = false
    private var nextAttemptNs = 0L

    /**
     * The shortest interval between two watches. Each watch counts as a request, and watches may use only a fixed share
     * of this controller's request rate. Updating the view more often than decisions are made has no benefit either.
     */
    private val watchIntervalNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * WATCH_SHARE / context.settings.size)).toLong(),
        Controller.MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI,
    )

    /** Clears the replica and starts a new list. */
    fun start() = lister.start()

    /** Starts the next list, watch or revision probe if it is due. */
    fun tick() {
        if (lister.isComplete && !lister.isListing) probe.tick()
        if (isWatching || lister.isListing || context.nowNs < nextAttemptNs) return
        if (lister.isComplete) watch() else start()
    }

    private fun onListed(first: ULong, last: ULong) {
        if (first == last) {
            advance(last)
        } else {
            // Later pages may contain parts of newer transactions: the view is consistent only after the first watch.
            replica.advance(first)
            context.viewFreshness.onViewReached(first)
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
        nextAttemptNs = context.nowNs + RETRY_MS * NANOS_PER_MILLI
    }

    private fun watch() {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return
        isWatching = true
        val sentNs = context.nowNs
        nextAttemptNs = sentNs + watchIntervalNs
        context.store.watch(StoreKeys.LIVE, context.view.revision, WATCH_BLOCK_MS) { result ->
            context.post { receiveTimed(result, sentNs) }
        }
    }

    private fun receiveTimed(result: WatchResult, sentNs: Long) {
        val startNs = System.nanoTime()
        receive(result, sentNs)
        context.stats.addDutyTime("view", System.nanoTime() - startNs)
    }

    private fun receive(result: WatchResult, sentNs: Long) {
        isWatching = false
        when (result) {
            is WatchResult.Changes -> applyChanges(result, sentNs)
            is WatchResult.Compacted -> {
                log.info("event=view_compacted revision={}", context.view.revision)
                start()
            }
            is WatchResult.Failed -> retryLater()
        }
    }

    private fun applyChanges(changes: WatchResult.Changes, sentNs: Long) {
        context.storeContact.noteResponse()
        for (item in changes.items) {
            replica.apply(item)
            if (isDeletedMachine(item)) workerHealth.forget(item.key.removePrefix(StoreKeys.MACHINE))
        }
        context.viewFreshness.recordRead(sentNs, changes.revision)
        advance(changes.revision)
        tick()
    }

    private fun isDeletedMachine(item: KeyUpdate) = item.value == null && item.key.startsWith(StoreKeys.MACHINE)

    /** Marks the view as complete up to [revision] and notifies everything that waits for it. */
    private fun advance(revision: ULong) {
        replica.advance(revision)
        context.viewFreshness.onViewReached(context.view.revision)
        hasSynced = true
        context.decisions.request()
        context.transactions.releaseSettledKeys()
        jobs.onViewAdvanced()
        context.subsystem?.onViewAdvanced()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /** How long the store keeps a watch open while nothing changes. */
        const val WATCH_BLOCK_MS = 10_000L

        /** The delay before a failed list or watch is retried. */
        const val RETRY_MS = 250L

        /** The share of this controller's request rate that watches may use. */
        const val WATCH_SHARE = 0.25
    }
}
