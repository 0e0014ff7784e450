package flaxfield.controller

import flaxfield.membership.Member
import flaxfield.membership.ShardOwnership
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.store.StoreClient
import flaxfield.store.ViewFreshness
import flaxfield.zones.ZoneRecovery

/** What the modules of one controller share. Everything in it belongs to the owner thread, but for [post]. */
class ControllerContext(
    val settings: Settings,
    val operator: OperatorSettings,
    /** This process as a member of the cluster. */
    val self: Member,
    val clock: Clock,
    val store: StoreClient,
    /** The in-memory copy of the store's live records; only [StoreReflector] updates it. */
    val view: ClusterView,
    /** Hands work to the owner thread; safe from any thread. */
    val post: (() -> Unit) -> Unit,
) {
    /** The monotonic clock now, in nanoseconds. */
    val nowNs: Long get() = clock.monotonicNs()

    /** The wall clock now, in milliseconds. */
    val nowMs: Long get() = clock.wallClockMs()

    val stats = ControllerStats()
    val decisions = DecisionTimer()
    val storeContact = StoreContact(clock)
    val leadership = Leadership(view, self, clock)
    val transactions = TransactionSubmitter(settings, store, view, clock, storeContact, decisions, stats, post)

    /** An upper bound on the age of [view]. */
    val viewFreshness = ViewFreshness()

    /** Which controller owns which machine. */
    val shards = ShardOwnership(view, self, settings.zones)

    /** What runs beside the scheduler's own duties; null without a fleet file. */
    var subsystem: Subsystem? = null

    /** What is known of lost and returning zones; null where they are not watched. */
    var zones: ZoneRecovery? = null

    val scheduling = SchedulingPolicy(settings, view, clock) { zones }
}
