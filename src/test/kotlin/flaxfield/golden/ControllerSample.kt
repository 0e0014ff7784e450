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

/** What one controller holds, at a fixed time, with a state service that never answers unless [calls] does. */
class ControllerSample(calls: HttpTransport = HttpTransport { _, _, _, _, _ -> }) {
    private val clock = object : Clock {
        override fun monotonicNs() = STEADY_NS

        override fun wallClockMs() = StoredSamples.TIME_MS
    }
    private val replica = ClusterReplica()
    val view = replica.view
    val context = ControllerContext(
        Samples.settings().copy(zones = 2, teams = mapOf("red" to Samples.team("red"), "blue" to Samples.team("blue"))),
        OperatorSettings(),
        StoredSamples.member,
        clock,
        StoreClient(calls, calls, TIMEOUT_MS),
        view,
    ) { it() }

    /** Shows [value] at [key] in the view. */
    fun put(key: String, value: Map<String, Any?>, version: ULong = StoredSamples.VERSION) =
        replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), version))

    /** Makes the sample's two members share the machines, and the view a fresh one. */
    fun assign() {
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(StoredSamples.member, StoredSamples.assignment.members))
        context.storeContact.noteResponse()
        context.viewFreshness.read(clock.monotonicNs(), 1uL)
        context.viewFreshness.reached(1uL)
    }

    companion object {
        const val TIMEOUT_MS = 500L
        private const val STEADY_NS = 100_000_000_000L
    }
}
