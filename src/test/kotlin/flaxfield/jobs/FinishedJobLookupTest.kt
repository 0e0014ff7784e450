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

/** Polls for ids that nobody submitted must not use up the requests that this process may send. */
class FinishedJobLookupTest {
    private var nowMs = 10_000L
    private val clock = object : Clock {
        override fun monotonicNs() = nowMs * 1_000_000

        override fun wallClockMs() = nowMs
    }
    private val sentPaths = ArrayList<String>()
    private val responses = ArrayDeque<() -> Unit>()
    private var isUp = true

    /** A state service that knows one finished job, and responds when [responses] are run. */
    private val state = HttpTransport { _, path, body, _, done ->
        sentPaths += path
        responses += {
            val answer = when {
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
            done(answer)
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
    private val remembered = ArrayList<String>()
    private val lookup = FinishedJobLookup(context) { remembered += it.id }

    private fun answerAll() {
        while (true) (responses.removeFirstOrNull() ?: return)()
    }

    private fun ask(vararg ids: String): List<String> {
        val got = ArrayList<String>()
        for (id in ids) lookup.ask(id) { got += "$id ${it.javaClass.simpleName}" }
        return got
    }

    @Test
    fun `many are looked up by one compare, and only what exists is read`() {
        val got = ask("job-1", "job-2", "job-7", "job-2")
        answerAll()
        nowMs += 100
        lookup.run()
        answerAll()
        assertEquals(listOf("job-1 Absent", "job-2 Absent", "job-2 Absent", "job-7 Known").sorted(), got.sorted())
        // The first went alone, all that came meanwhile together.
        assertEquals(listOf("/txn", "/txn", "/keys/" + StoreKeys.FINISHED_JOB + "job-7"), sentPaths)
        assertEquals(listOf("job-7"), remembered)
    }

    @Test
    fun `each query gets one result, in time, and the queries are bounded`() {
        val got = ask("job-1")
        nowMs += 1_300
        lookup.run()
        assertEquals(listOf("job-1 Unclear"), got)
        answerAll()
        assertEquals(1, got.size)
        isUp = false
        val flood = ask(*(0 until 300).map { "job-9$it" }.toTypedArray())
        assertEquals(44, flood.size)
        assertTrue(flood.all { it.endsWith("Unclear") })
        repeat(20) {
            answerAll()
            nowMs += 100
            lookup.run()
        }
        assertEquals(300, flood.size)
    }
}
