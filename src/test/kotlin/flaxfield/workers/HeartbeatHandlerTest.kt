package flaxfield.workers

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import flaxfield.membership.Member
import flaxfield.membership.MemberCodec
import flaxfield.net.HttpTransport
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerGateway
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** After a restart of all controllers, leases must last until each worker has found its owner under a new term. */
class HeartbeatHandlerTest {
    private var nowS = 100.0
    private val clock = object : Clock {
        override fun monotonicNs() = (nowS * 1e9).toLong()

        override fun wallClockMs() = (nowS * 1e3).toLong()
    }
    private val self = Member("n-0", "run1", "a")
    private val other = Member("n-1", "run1", "b")
    private val silence = HttpTransport { _, _, _, _, _ -> }
    private val replica = ClusterReplica()

    // Two zones, each with one of the two controllers: a machine's zone tells its owner.
    private val settings = Samples.settings().copy(zones = 2)
    private val context =
        ControllerContext(settings, OperatorSettings(), self, clock, StoreClient(silence, silence, 1), replica.view) {
            it()
        }
    private val workerHealth = WorkerHealth(context)
    private val handler = HeartbeatHandler(
        context,
        TaskEventCommitter(context),
        PeerGateway(context) { _, _ -> PeerConnection { } },
        workerHealth,
        HaltDispatcher(context, workerHealth, DirectCommandSender(1, 1) { silence }),
    )

    private fun put(key: String, value: Map<String, Any?>, version: ULong) =
        replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), version))

    private fun viewRead() {
        context.storeContact.noteResponse()
        context.viewFreshness.read(clock.monotonicNs(), 1uL)
        context.viewFreshness.reached(1uL)
    }

    /**
     * The response to a heartbeat of a machine in [zone] that knows [fencingToken]: its status, and the term or the
     * owner that it names.
     */
    private fun answer(zone: String, fencingToken: Int): String {
        val body = mapOf(
            "host" to "host-$zone", "address" to "10.1.0.1:1", "flavor" to "big", "site" to zone, "lendable" to false,
            "tenure" to 1, "tally" to 1, "epoch" to fencingToken, "shards" to emptyList<Any>(),
        )
        var result = "none"
        handler.heartbeat(Cbor.encode(body)) { status, response, _ ->
            val message = if (response.bytes.isEmpty()) null else Cbor.decode(response.bytes)
            result = listOfNotNull(status, message?.unsigned("epoch"), message?.text("steward")).joinToString(" ")
        }
        return result
    }

    private fun assigned(leader: Member, members: List<Member>, term: ULong) =
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(leader, members), term)

    @Test
    fun `another's worker hears the term here first, and is sent to its owner after that`() {
        assigned(self, listOf(self, other), 7uL)
        viewRead()
        assertEquals("200 7", answer("b", fencingToken = 3), "its lease is renewed, whoever owns it")
        assertEquals("421 n-1", answer("b", fencingToken = 7), "with its next report")
        nowS += 1.0
        assertEquals(
            "200 7",
            answer("b", fencingToken = 7),
            "it comes back at once: its owner does not answer, so it is kept alive here",
        )
        nowS += 60.0
        assertEquals("421 n-1", answer("b", fencingToken = 3), "the view is too old to renew: its owner may know more")
    }

    @Test
    fun `while nobody leads its own epoch keeps a worker's lease, within the bound`() {
        val before = self.copy(incarnation = "run0")
        assigned(before, listOf(before, other.copy(incarnation = "run0")), 7uL)
        assertEquals("421", answer("a", fencingToken = 7), "no view has been complete yet")
        viewRead()
        assertEquals("200 7", answer("a", fencingToken = 7))
        assertEquals("200 7", answer("b", fencingToken = 7))
        assertEquals("421 n-1", answer("b", fencingToken = 8), "it knows a newer term than this view")
        put(StoreKeys.LEADER, MemberCodec.encode(before), 8uL)
        assertEquals("421 n-1", answer("b", fencingToken = 7), "the leader lives: it has a term, and we have none")
    }
}
