package flaxfield.controller

import flaxfield.membership.Member
import flaxfield.membership.ShardOwnership
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.store.StoreClient
import flaxfield.store.ViewFreshness
import flaxfield.zones.ZoneRecovery

/** The state and services that the modules of one controller share. Only the owner thread uses them, except [post]. */
class ControllerContext(
    val settings: Settings,
    val operator: OperatorSettings,
    /** The cluster member that this process is. */
    val self: Member,
    val clock: Clock,
    val store: StoreClient,
    /** The in-memory copy of the store's live records; only [StoreReflector] updates it. */
    val view: ClusterView,
    /** Schedules a task on the owner thread. Safe to call from any thread. */
    val post: (() -> Unit) -> Unit,
) {
    /** The current monotonic time in nanoseconds. */
    val nowNs: Long get() = clock.monotonicNs()

    /** The current wall-clock time in milliseconds since the epoch. */
    val nowMs: Long get() = clock.wallClockMs()

    val stats = ControllerStats()
    val decisions = DecisionTimer()
    val storeContact = StoreContact(clock)
    val leadership = Leadership(view, self, clock)
    val transactions = TransactionSubmitter(settings, store, view, clock, storeContact, decisions, stats, post)

    /** An upper bound on the age of [view]. */
    val viewFreshness = ViewFreshness()

    /** Maps each machine to the controller that owns it. */
    val shards = ShardOwnership(view, self, settings.zones)

    /** The subsystem that the fleet file enables; null without a fleet file. */
    var subsystem: Subsystem? = null

    /** Tracks lost and returning zones; null if zones are not monitored. */
    var zones: ZoneRecovery? = null

    val scheduling = SchedulingPolicy(settings, view, clock) { zones }
}
