package flaxfield.controller

import flaxfield.peers.PeerGateway
import flaxfield.settings.Settings

/**
 * Decides whether users' requests should be routed to this process. If the store is unreachable for all controllers,
 * the process stays ready and responds with 503. If only this process is cut off from the store, it is not ready, so
 * that users reach another controller.
 */
internal class Readiness(
    private val settings: Settings,
    private val storeContact: StoreContact,
    private val peers: PeerGateway,
    private val reflector: StoreReflector,
) {
    /** Whether the process is ready to serve users now. */
    fun isReady(): Boolean {
        if (!reflector.hasSynced) return false
        if (!storeContact.isUnreachable(settings.workers.leaseS)) return true
        if (peers.storeReachableElsewhere()) return false
        // If no peer is reachable either, this process is cut off rather than the store down for all controllers.
        return settings.peers.isEmpty() || peers.hasReachablePeer()
    }
}
