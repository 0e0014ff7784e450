package flaxfield.controller

import flaxfield.store.ClusterReplica
import flaxfield.store.ListResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * Reads everything under [StoreKeys.LIVE] into the replica, page by page. The watch afterwards starts from the first
 * page's revision: later pages may be newer, which the versions of their keys tell.
 *
 * @param onListed takes the revisions of the first and of the last page
 * @param onFailed called when a page could not be had; the list then has to be started anew
 */
internal class StoreLister(
    private val context: ControllerContext,
    private val replica: ClusterReplica,
    private val onListed: (first: ULong, last: ULong) -> Unit,
    private val onFailed: () -> Unit,
) {
    /** Whether a list is under way. */
    var isListing = false
        private set

    /** Whether the last list that was started has come to its end. */
    var isComplete = false
        private set
    private var firstRevision: ULong? = null

    /** Empties the replica and begins to list anew. */
    fun start() {
        isListing = true
        isComplete = false
        firstRevision = null
        replica.clear()
        context.viewFreshness.forget()
        listFrom(null)
    }

    private fun listFrom(key: String?) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return fail()
        val sentNs = context.nowNs
        context.store.list(StoreKeys.LIVE, key, PAGE_KEYS) { result ->
            context.post {
                when (result) {
                    is ListResult.Page -> take(result, sentNs)
                    is ListResult.Failed -> fail()
                }
            }
        }
    }

    private fun take(page: ListResult.Page, sentNs: Long) {
        context.storeContact.noteResponse()
        if (firstRevision == null) {
            firstRevision = page.revision
            context.viewFreshness.read(sentNs, page.revision)
        }
        for (item in page.items) replica.apply(item)
        if (page.more && page.items.isNotEmpty()) listFrom(page.items.last().key) else finish(page.revision)
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
        /** Half of what the service allows: applying more at once would delay the renewal of workers' leases. */
        const val PAGE_KEYS = 500
    }
}
