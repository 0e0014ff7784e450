package flaxfield.sim

import flaxfield.controller.Clock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * An event loop in simulated time, which starts at one second. It has the only random number generator of a simulation.
 * Events of the same time run in the order in which they were added, so that equal seeds give equal runs.
 */
class SimLoop(seed: Int) : Clock {
    private class Event(val atNs: Long, val sequenceNumber: Long, val run: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.atNs }, { it.sequenceNumber }))
    private var nextSequenceNumber = 0L
    var nowNs = SECOND
        private set
    val random = Random(seed)
    val nowS: Double get() = nowNs / SECOND.toDouble()

    override fun monotonicNs() = nowNs

    override fun wallClockMs() = DAY_START_MS + nowNs / MS

    /** Schedules [run] after [ns] of simulated time. */
    fun after(ns: Long, run: () -> Unit) {
        queue += Event(nowNs + ns, nextSequenceNumber++, run)
    }

    /** Runs all events up to [endS], including those added meanwhile. */
    fun runUntil(endS: Double) {
        while (true) {
            val event = queue.peek() ?: return
            if (event.atNs > endS * SECOND) return
            queue.poll()
            nowNs = event.atNs
            event.run()
        }
    }

    companion object {
        const val MS = 1_000_000L
        const val SECOND = 1_000_000_000L
        private const val DAY_START_MS = 1_700_000_000_000L
    }
}
