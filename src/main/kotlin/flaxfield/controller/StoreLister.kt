package flaxfield.controller

import flaxfield.store.ClusterReplica
import flaxfield.store.ListResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * Lists all keys under [StoreKeys.LIVE] into the replica, page by page. The following watch starts from the first
 * page's revision. Later pages may be newer than that; the replica skips updates that it already has, by the versions
 * of their keys.
 *
 * @param onListed receives the revisions of the first and of the last page
 * @param onFailed called when a page could not be read; the list must then be restarted
 */
internal class StoreLister(
    private val context: ControllerContext,
    private val replica: ClusterReplica,
    private val onListed: (first: ULong, last: ULong) -> Unit,
    private val onFailed: () -> Unit,
) {
    /** Whether a list is in progress. */
    var isListing = false
        private set

    /** Whether the most recently started list has completed. */
    var isComplete = false
        private set
    private var firstRevision: ULong? = null

    /** Clears the replica and starts a new list. */
    fun start() {
        isListing = true
        isComplete = false
        firstRevision = null
        replica.clear()
        context.viewFreshness.reset()
        listAfter(null)
    }

    private fun listAfter(key: String?) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return fail()
        val sentNs = context.nowNs
        context.store.list(StoreKeys.LIVE, key, PAGE_KEYS) { result ->
            context.post {
                when (result) {
                    is ListResult.Page -> applyPage(result, sentNs)
                    is ListResult.Failed -> fail()
                }
            }
        }
    }

    private fun applyPage(page: ListResult.Page, sentNs: Long) {
        context.storeContact.noteResponse()
        if (firstRevision == null) {
            firstRevision = page.revision
            context.viewFreshness.recordRead(sentNs, page.revision)
        }
        for (item in page.items) replica.apply(item)
        if (page.more && page.items.isNotEmpty()) listAfter(page.items.last().key) else finish(page.revision)
    }

    private fun finish(lastRevision: ULong) {
        isListing = false
        isComplete = true
        onListed(firstRevision ?: lastRevision, lastRevision)
    }

    private fun fail() {
        isListing = false
        onFailed()
    }

    private companion object {
        /**
         * Half of the store's maximum page size: applying more keys at once would delay the renewal of workers' leases.
         */
        const val PAGE_KEYS = 500
    }
}
