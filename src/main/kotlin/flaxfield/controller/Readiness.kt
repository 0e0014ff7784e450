package flaxfield.controller

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
    /** Whether the process is ready now. */
    fun isReady(): Boolean {
        if (!reflector.hasSynced) return false
        if (!storeContact.isUnreachable(settings.workers.leaseS)) return true
        if (peers.storeReachableElsewhere()) return false
        // Peers that are silent as well tell that this process is cut off, not that all are.
        return settings.peers.isEmpty() || peers.hasRecentPeer()
    }
}
