package flaxfield.golden

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.membership.MemberCodec
import flaxfield.net.HttpTransport
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys

/**
 * The context and view of one controller at a fixed time. Its requests to the state service go to [transport], which by
 * default never responds.
 */
class SampleController(transport: HttpTransport = HttpTransport { _, _, _, _, _ -> }) {
    private val clock = object : Clock {
        override fun monotonicNs() = MONOTONIC_NS

        override fun wallClockMs() = StoredSamples.TIME_MS
    }
    private val replica = ClusterReplica()
    val view = replica.view
    val context = ControllerContext(
        Samples.settings().copy(zones = 2, teams = mapOf("red" to Samples.team("red"), "blue" to Samples.team("blue"))),
        OperatorSettings(),
        StoredSamples.member,
        clock,
        StoreClient(transport, transport, TIMEOUT_MS),
        view,
    ) { it() }

    /** Puts [value] into the view at [key]. */
    fun put(key: String, value: Map<String, Any?>, version: ULong = StoredSamples.VERSION) =
        replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), version))

    /** Puts the assignment of the two members into the view and marks the view as fresh. */
    fun assign() {
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(StoredSamples.member, StoredSamples.assignment.members))
        context.storeContact.noteResponse()
        context.viewFreshness.recordRead(clock.monotonicNs(), 1uL)
        context.viewFreshness.onViewReached(1uL)
    }

    companion object {
        const val TIMEOUT_MS = 500L
        private const val MONOTONIC_NS = 100_000_000_000L
    }
}
