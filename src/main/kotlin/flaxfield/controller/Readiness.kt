package flaxfield.controller

import flaxfield.NANOS_PER_SECOND
import flaxfield.peers.PeerGateway
import flaxfield.settings.Settings

/**
 * Whether users' requests should come to this process. In an outage of the store for all controllers it stays ready and
 * answers 503; if only this one is cut off from the store, users are better off elsewhere.
 */
internal class Readiness(
    private val settings: Settings,
    private val storeContact: StoreContact,
    private val peers: PeerGateway,
    private val reflector: StoreReflector,
) {
    private val storeSilentNs = settings.workers.leaseS * STORE_SILENT_LEASE_SHARE * NANOS_PER_SECOND

    /** Whether the process is ready now. */
    fun isReady(): Boolean {
        if (!reflector.hasSynced) return false
        if (storeContact.silenceNs() <= storeSilentNs) return true
        if (peers.storeReachableElsewhere()) return false
        // Peers that are silent as well tell that this process is cut off, not that all are.
        return settings.peers.isEmpty() || peers.hasRecentPeer()
    }

    private companion object {
        /** The store is out of reach after this share of a worker's lease without an answer. */
        const val STORE_SILENT_LEASE_SHARE = 0.25
    }
}
