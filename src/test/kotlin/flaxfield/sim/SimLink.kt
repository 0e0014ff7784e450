package flaxfield.sim

import flaxfield.net.HttpTransport
import flaxfield.net.Response

/** Takes one request and answers it at once, later or never. */
fun interface SimServer {
    fun serve(method: String, target: String, body: ByteArray, answer: (Response) -> Unit)
}

/** The connection between two parties, with its delays and faults. Rates are chances from 0 to 1 for each message. */
class SimLink(private val loop: SimLoop) {
    /** Neither requests nor answers arrive; where [holds] is set, requests do once the cut is over. */
    var cut = false
        set(value) {
            field = value
            if (value) return
            val late = held.toList()
            held.clear()
            for ((position, deliver) in late.withIndex()) loop.after((position + 1L) * SimLoop.MS, deliver)
        }

    /** Whether a cut keeps what is sent and delivers it late, in its order. */
    var holds = false
    private val held = ArrayList<() -> Unit>()

    /** How often a request is executed but its answer is lost. */
    var lostAnswerRate = 0.0

    /** How often a request is executed only after its sender has given up. */
    var lateRate = 0.0

    /** The same of transactions alone, 2 to 12 s late: after newer ones of the same sender. */
    var lateTransactionRate = 0.0

    /** How often a transaction is executed at once, and its answer is lost. */
    var lostTransactionAnswerRate = 0.0

    /** What each message takes longer than usual. */
    var slowMs = 0L

    /** A transport to [server]; its callers get no answer once they are not [alive]. */
    fun transport(alive: () -> Boolean, server: SimServer) = HttpTransport { method, path, body, timeoutMs, done ->
        var finished = false
        fun finish(answer: Response?) {
            if (finished) return
            finished = true
            if (alive()) done(answer)
        }
        loop.after(timeoutMs * SimLoop.MS) { finish(null) }
        val chance = loop.random.nextDouble()
        val isTransaction = path == TRANSACTION_PATH
        val delayNs = requestDelayNs(chance, isTransaction, timeoutMs)
        val isAnswerLost = isAnswerLost(chance, isTransaction)
        val deliver = {
            server.serve(method, path, body ?: ByteArray(0)) { answer ->
                if (!isAnswerLost) loop.after(hopNs()) { if (!cut) finish(answer) }
            }
        }
        if (!cut) {
            loop.after(delayNs, deliver)
        } else if (holds) {
            held += deliver
        }
    }

    private fun requestDelayNs(chance: Double, isTransaction: Boolean, timeoutMs: Long): Long = when {
        chance < lateRate -> (timeoutMs + loop.random.nextLong(MAX_LATE_MS)) * SimLoop.MS
        isTransaction && chance < lateTransactionRate ->
            loop.random.nextLong(MIN_LATE_TRANSACTION_MS, MAX_LATE_TRANSACTION_MS) * SimLoop.MS
        else -> hopNs()
    }

    private fun isAnswerLost(chance: Double, isTransaction: Boolean): Boolean = loop.random.nextDouble() < lostAnswerRate ||
        isTransaction &&
        (chance < lateTransactionRate || loop.random.nextDouble() < lostTransactionAnswerRate)

    private fun hopNs() = loop.random.nextLong(SimLoop.MS, 5 * SimLoop.MS) + slowMs * SimLoop.MS

    private companion object {
        const val TRANSACTION_PATH = "/txn"
        const val MAX_LATE_MS = 4_000L
        const val MIN_LATE_TRANSACTION_MS = 2_000L
        const val MAX_LATE_TRANSACTION_MS = 12_000L
    }
}
