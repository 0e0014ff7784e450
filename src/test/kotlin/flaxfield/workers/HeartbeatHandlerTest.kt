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

/** After a restart of all controllers, no lease may expire before its worker has found its owner under the new term. */
class HeartbeatHandlerTest {
    private var nowS = 100.0
    private val clock = object : Clock {
        override fun monotonicNs() = (nowS * 1e9).toLong()

        override fun wallClockMs() = (nowS * 1e3).toLong()
    }
    private val self = Member("n-0", "run1", "a")
    private val other = Member("n-1", "run1", "b")
    private val noResponse = HttpTransport { _, _, _, _, _ -> }
    private val replica = ClusterReplica()

    // Two zones, each with one of the two controllers: a machine's zone determines its owner.
    private val settings = Samples.settings().copy(zones = 2)
    private val context =
        ControllerContext(
            settings,
            OperatorSettings(),
            self,
            clock,
            StoreClient(noResponse, noResponse, 1),
            replica.view,
        ) {
            it()
        }
    private val workerHealth = WorkerHealth(context)
    private val handler = HeartbeatHandler(
        context,
        TaskEventCommitter(context),
        PeerGateway(context) { _, _ -> PeerConnection { } },
        workerHealth,
        HaltDispatcher(context, workerHealth, DirectCommandSender(1, 1) { noResponse }),
    )

    private fun put(key: String, value: Map<String, Any?>, version: ULong) =
        replica.apply(KeyUpdate(key, Cbor.decode(Cbor.encode(value)), version))

    private fun loadView() {
        context.storeContact.noteResponse()
        context.viewFreshness.recordRead(clock.monotonicNs(), 1uL)
        context.viewFreshness.onViewReached(1uL)
    }

    /**
     * Returns the response to a heartbeat of a machine in [zone] that knows [fencingToken]: its status, and the term or
     * the owner that it names.
     */
    private fun response(zone: String, fencingToken: Int): String {
        val body = mapOf(
            "host" to "host-$zone", "address" to "10.1.0.1:1", "flavor" to "big", "site" to zone, "lendable" to false,
            "tenure" to 1, "tally" to 1, "epoch" to fencingToken, "shards" to emptyList<Any>(),
        )
        var result = "none"
        handler.handle(Cbor.encode(body)) { status, responseBody, _ ->
            val message = if (responseBody.bytes.isEmpty()) null else Cbor.decode(responseBody.bytes)
            result = listOfNotNull(status, message?.unsigned("epoch"), message?.text("steward")).joinToString(" ")
        }
        return result
    }

    private fun putAssignment(leader: Member, members: List<Member>, term: ULong) =
        put(StoreKeys.ASSIGNMENT, MemberCodec.encode(leader, members), term)

    @Test
    fun `a misrouted worker first learns the term, and is then redirected to its owner`() {
        putAssignment(self, listOf(self, other), 7uL)
        loadView()
        assertEquals("200 7", response("b", fencingToken = 3), "the lease is renewed regardless of the owner")
        assertEquals("421 n-1", response("b", fencingToken = 7), "redirected at its next heartbeat")
        nowS += 1.0
        assertEquals(
            "200 7",
            response("b", fencingToken = 7),
            "it returns soon because its owner does not respond, so its lease is renewed here",
        )
        nowS += 60.0
        assertEquals("421 n-1", response("b", fencingToken = 3), "redirected: the view is too old to renew the lease")
    }

    @Test
    fun `without a leader, a lease is renewed under the worker's own fencing token if the view is recent`() {
        val earlierRun = self.copy(incarnation = "run0")
        putAssignment(earlierRun, listOf(earlierRun, other.copy(incarnation = "run0")), 7uL)
        assertEquals("421", response("a", fencingToken = 7), "the view has not been loaded yet")
        loadView()
        assertEquals("200 7", response("a", fencingToken = 7))
        assertEquals("200 7", response("b", fencingToken = 7))
        assertEquals("421 n-1", response("b", fencingToken = 8), "the worker knows a newer term than the view")
        put(StoreKeys.LEADER, MemberCodec.encode(earlierRun), 8uL)
        assertEquals("421 n-1", response("b", fencingToken = 7), "there is a leader, but this controller has no term")
    }
}
