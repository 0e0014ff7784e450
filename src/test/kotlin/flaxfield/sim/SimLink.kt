package flaxfield.sim

import flaxfield.net.HttpTransport
import flaxfield.net.Response

/** Serves a request, which it may answer at once, later or never. */
fun interface SimServer {
    fun serve(method: String, target: String, body: ByteArray, answer: (Response) -> Unit)
}

/** The connection between two parties, with its latency and faults. Rates are probabilities per message. */
class SimLink(private val loop: SimLoop) {
    /** Whether messages are lost. With [buffersWhileCut], requests arrive once the connection is restored. */
    var cut = false
        set(value) {
            field = value
            if (value) return
            val delayed = buffered.toList()
            buffered.clear()
            for ((position, deliver) in delayed.withIndex()) loop.after((position + 1L) * SimLoop.MS, deliver)
        }

    /** Whether requests sent while the link is [cut] are buffered and delivered in order afterwards. */
    var buffersWhileCut = false
    private val buffered = ArrayList<() -> Unit>()

    /** The rate of requests that are executed but whose responses are lost. */
    var lostResponseRate = 0.0

    /** The rate of requests that are executed only after the sender's timeout. */
    var lateRequestRate = 0.0

    /** The rate of transactions that are executed 2 to 12 s late, after newer ones of the same sender. */
    var lateTransactionRate = 0.0

    /** The rate of transactions that are executed in time but whose responses are lost. */
    var lostTransactionResponseRate = 0.0

    /** The latency added to each message. */
    var extraLatencyMs = 0L

    /** Returns a transport to [server]; its callers get no response once they are not [alive]. */
    fun transport(alive: () -> Boolean, server: SimServer) = HttpTransport { method, path, body, timeoutMs, done ->
        var finished = false
        fun finish(answer: Response?) {
            if (finished) return
            finished = true
            if (alive()) done(answer)
        }
        loop.after(timeoutMs * SimLoop.MS) { finish(null) }
        val draw = loop.random.nextDouble()
        val isTransaction = path == TRANSACTION_PATH
        val delayNs = requestDelayNs(draw, isTransaction, timeoutMs)
        val isResponseLost = isResponseLost(draw, isTransaction)
        val deliver = {
            server.serve(method, path, body ?: ByteArray(0)) { answer ->
                if (!isResponseLost) loop.after(latencyNs()) { if (!cut) finish(answer) }
            }
        }
        if (!cut) {
            loop.after(delayNs, deliver)
        } else if (buffersWhileCut) {
            buffered += deliver
        }
    }

    private fun requestDelayNs(draw: Double, isTransaction: Boolean, timeoutMs: Long): Long = when {
        draw < lateRequestRate -> (timeoutMs + loop.random.nextLong(MAX_LATENESS_MS)) * SimLoop.MS
        isTransaction && draw < lateTransactionRate ->
            loop.random.nextLong(MIN_TRANSACTION_DELAY_MS, MAX_TRANSACTION_DELAY_MS) * SimLoop.MS
        else -> latencyNs()
    }

    private fun isResponseLost(draw: Double, isTransaction: Boolean): Boolean = loop.random.nextDouble() < lostResponseRate ||
        isTransaction &&
        (draw < lateTransactionRate || loop.random.nextDouble() < lostTransactionResponseRate)

    private fun latencyNs() = loop.random.nextLong(SimLoop.MS, 5 * SimLoop.MS) + extraLatencyMs * SimLoop.MS

    private companion object {
        const val TRANSACTION_PATH = "/txn"
        const val MAX_LATENESS_MS = 4_000L
        const val MIN_TRANSACTION_DELAY_MS = 2_000L
        const val MAX_TRANSACTION_DELAY_MS = 12_000L
    }
}
