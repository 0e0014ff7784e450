package flaxfield.sim

import flaxfield.controller.Clock
import flaxfield.net.HttpTransport
import flaxfield.net.Response
import java.util.PriorityQueue
import kotlin.random.Random

/** Simulated time: actions in their order, and one seeded source of chance. */
class SimLoop(seed: Int) : Clock {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.at }, { it.order }))
    private var order = 0L
    var nowNs = SECOND
        private set
    val random = Random(seed)
    val nowS: Double get() = nowNs / SECOND.toDouble()

    override fun steadyNs() = nowNs

    override fun dayMs() = DAY_START_MS + nowNs / MS

    fun after(ns: Long, run: () -> Unit) {
        queue += Event(nowNs + ns, order++, run)
    }

    fun runUntil(endS: Double) {
        while (true) {
            val e = queue.peek() ?: return
            if (e.at > endS * SECOND) return
            queue.poll()
            nowNs = e.at
            e.run()
        }
    }

    companion object {
        const val MS = 1_000_000L
        const val SECOND = 1_000_000_000L
        private const val DAY_START_MS = 1_700_000_000_000L
    }
}

/** What happens to messages between two parties now. */
class SimLink(private val loop: SimLoop) {
    /** Neither requests nor answers arrive; where the cut holds packets back, requests do once it is over. */
    var cut = false
        set(value) {
            field = value
            if (value) return
            val late = held.toList()
            held.clear()
            for ((k, deliver) in late.withIndex()) loop.after((k + 1L) * SimLoop.MS, deliver)
        }

    /** Whether a cut keeps what is sent and delivers it late, in its order. */
    var holds = false
    private val held = ArrayList<() -> Unit>()

    /** Chance that a request is executed but its answer is lost. */
    var loseAnswer = 0.0

    /** Chance that a request is executed only after its sender has given up. */
    var late = 0.0

    /** The same of transactions alone, 2 to 12 s late: after newer ones of the same sender. */
    var lateTxn = 0.0

    /** Chance that a transaction is carried out at once, and its answer is lost. */
    var silentTxn = 0.0

    /** What each message takes longer than usual. */
    var slowMs = 0L

    /** A line to [server], which answers through its callback, at once or later. */
    fun line(alive: () -> Boolean, server: (String, String, ByteArray, (Response) -> Unit) -> Unit) =
        HttpTransport { method, path, body, timeoutMs, done ->
            var over = false
            fun finish(a: Response?) {
                if (over) return
                over = true
                if (alive()) done(a)
            }
            loop.after(timeoutMs * SimLoop.MS) { finish(null) }
            val chance = loop.random.nextDouble()
            val txn = path == "/txn"
            val delay = when {
                chance < late -> (timeoutMs + loop.random.nextLong(4_000)) * SimLoop.MS
                txn && chance < lateTxn -> loop.random.nextLong(2_000, 12_000) * SimLoop.MS
                else -> hop()
            }
            val lost =
                loop.random.nextDouble() < loseAnswer ||
                    txn &&
                    (chance < lateTxn || loop.random.nextDouble() < silentTxn)
            val deliver = {
                server(method, path, body ?: ByteArray(0)) { answer ->
                    if (!lost) loop.after(hop()) { if (!cut) finish(answer) }
                }
            }
            if (!cut) {
                loop.after(delay, deliver)
            } else if (holds) {
                held += deliver
            }
        }

    private fun hop() = loop.random.nextLong(SimLoop.MS, 5 * SimLoop.MS) + slowMs * SimLoop.MS
}
