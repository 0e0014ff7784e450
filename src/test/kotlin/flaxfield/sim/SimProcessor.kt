package flaxfield.sim

/** A kind of work of a controller, and how long one item takes on a small share of a core. */
enum class WorkKind(val costNs: Long) {
    HEARTBEAT(110 * SimLoop.MS),
    USER(80 * SimLoop.MS),
    PEER(15 * SimLoop.MS),

    /** A response of the state service, the cloud or a worker. */
    RESPONSE(30 * SimLoop.MS),

    /** One iteration of the event loop. */
    EVENT_LOOP(70 * SimLoop.MS),
}

/**
 * The processor of one controller. While [isStarved], each work item takes time and later ones queue, so that the
 * controller acts on stale information. Requests beyond a bound are rejected, as by the admission stage of a real
 * controller.
 */
class SimProcessor(private val loop: SimLoop) {
    var isStarved = false
    private var freeAtNs = 0L

    /** How long a new work item waits before it runs. */
    val queueDelayNs: Long get() = maxOf(0L, freeAtNs - loop.nowNs)

    /** The maximum of [queueDelayNs] so far. */
    var maxQueueDelayNs = 0L
        private set

    /** Returns whether a request of kind [work] is still accepted. */
    fun accepts(work: WorkKind): Boolean = queueDelayNs < if (work == WorkKind.USER) MAX_USER_QUEUE_DELAY_NS else MAX_QUEUE_DELAY_NS

    /** Runs [block] after the work queued before it. */
    fun run(work: WorkKind, block: () -> Unit) {
        if (!isStarved && queueDelayNs == 0L) return block()
        freeAtNs = maxOf(loop.nowNs, freeAtNs) + if (isStarved) work.costNs else 0L
        maxQueueDelayNs = maxOf(maxQueueDelayNs, queueDelayNs)
        loop.after(freeAtNs - loop.nowNs, block)
    }

    /** Empties the queue, as for a new process. */
    fun restart() {
        freeAtNs = 0L
    }

    private companion object {
        const val MAX_QUEUE_DELAY_NS = 2 * SimLoop.SECOND
        const val MAX_USER_QUEUE_DELAY_NS = SimLoop.SECOND
    }
}
