package flaxfield.jobs

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Clock
import flaxfield.controller.ControllerContext
import flaxfield.membership.Member
import flaxfield.net.HttpTransport
import flaxfield.net.Response
import flaxfield.settings.OperatorSettings
import flaxfield.store.ClusterReplica
import flaxfield.store.StoreClient
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Polls for unknown job ids must not use up this process's request budget. */
class FinishedJobLookupTest {
    private var nowMs = 10_000L
    private val clock = object : Clock {
        override fun monotonicNs() = nowMs * 1_000_000

        override fun wallClockMs() = nowMs
    }
    private val sentPaths = ArrayList<String>()
    private val responses = ArrayDeque<() -> Unit>()
    private var isUp = true

    /** A state service that stores one finished job, and responds when [responses] are run. */
    private val state = HttpTransport { _, path, body, _, done ->
        sentPaths += path
        responses += {
            val response = when {
                !isUp -> null
                path == "/txn" -> {
                    val existing = Cbor.decode(body ?: ByteArray(0)).mapList("when")
                        .map { it.requireText("k") }
                        .filter { it == StoreKeys.FINISHED_JOB + "job-7" }
                    Response(
                        if (existing.isEmpty()) 200 else 409,
                        Cbor.encode(mapOf("failed" to existing, "ledger" to 5)),
                    )
                }
                else -> Response(
                    200,
                    Cbor.encode(
                        mapOf(
                            "value" to JobCodec.encodeFinished(FinishedJob("job-7", aborted = false, done = 3)),
                        ),
                    ),
                )
            }
            done(response)
        }
    }
    private val context =
        ControllerContext(
            Samples.settings(),
            OperatorSettings(),
            Member("n-0", "r", "a"),
            clock,
            StoreClient(state, state, 1),
            ClusterReplica().view,
        ) {
            it()
        }
    private val foundIds = ArrayList<String>()
    private val lookup = FinishedJobLookup(context) { foundIds += it.id }

    private fun deliverResponses() {
        while (true) (responses.removeFirstOrNull() ?: return)()
    }

    private fun lookUp(vararg ids: String): List<String> {
        val results = ArrayList<String>()
        for (id in ids) lookup.lookUp(id) { results += "$id ${it.javaClass.simpleName}" }
        return results
    }

    @Test
    fun `looks up many ids with one compare and reads only existing records`() {
        val results = lookUp("job-1", "job-2", "job-7", "job-2")
        deliverResponses()
        nowMs += 100
        lookup.run()
        deliverResponses()
        assertEquals(listOf("job-1 Absent", "job-2 Absent", "job-2 Absent", "job-7 Found").sorted(), results.sorted())
        // The first id was sent alone, and those that arrived meanwhile went in one compare.
        assertEquals(listOf("/txn", "/txn", "/keys/" + StoreKeys.FINISHED_JOB + "job-7"), sentPaths)
        assertEquals(listOf("job-7"), foundIds)
    }

    @Test
    fun `each query gets one result in time and the number of open queries is bounded`() {
        val results = lookUp("job-1")
        nowMs += 1_300
        lookup.run()
        assertEquals(listOf("job-1 Unavailable"), results)
        deliverResponses()
        assertEquals(1, results.size)
        isUp = false
        val burst = lookUp(*(0 until 300).map { "job-9$it" }.toTypedArray())
        assertEquals(44, burst.size)
        assertTrue(burst.all { it.endsWith("Unavailable") })
        repeat(20) {
            deliverResponses()
            nowMs += 100
            lookup.run()
        }
        assertEquals(300, burst.size)
    }
}
