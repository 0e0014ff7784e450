package flaxfield.sim

/** What a controller's processor works on, and how long one piece of it takes on a small share of a core. */
enum class Work(val costNs: Long) {
    HEARTBEAT(110 * SimLoop.MS),
    USER(80 * SimLoop.MS),
    PEER(15 * SimLoop.MS),

    /** An answer of the state service, the cloud or a worker. */
    FOLLOW_UP(30 * SimLoop.MS),

    /** One turn of the event loop. */
    TURN(70 * SimLoop.MS),
}

/**
 * The processor of one controller. While it is [slow], each piece of work takes its time and later ones queue, so that
 * the controller acts on old information, as one does that lacks processor time. Requests beyond a bound are refused,
 * as by the first stage of a real controller.
 */
class SimProcessor(private val loop: SimLoop) {
    var slow = false
    private var freeAtNs = 0L

    /** How long new work waits. */
    val behindNs: Long get() = maxOf(0L, freeAtNs - loop.nowNs)

    /** The maximum of [behindNs] so far. */
    var maxBehindNs = 0L
        private set

    /** Whether work that comes from outside is still accepted. */
    fun takes(work: Work): Boolean = behindNs < if (work == Work.USER) MAX_FOR_USERS_NS else MAX_NS

    /** Runs [block] after the work that is queued. */
    fun run(work: Work, block: () -> Unit) {
        if (!slow && behindNs == 0L) return block()
        freeAtNs = maxOf(loop.nowNs, freeAtNs) + if (slow) work.costNs else 0L
        maxBehindNs = maxOf(maxBehindNs, behindNs)
        loop.after(freeAtNs - loop.nowNs, block)
    }

    /** A new process starts with an empty queue. */
    fun restart() {
        freeAtNs = 0L
    }

    private companion object {
        const val MAX_NS = 2 * SimLoop.SECOND
        const val MAX_FOR_USERS_NS = SimLoop.SECOND
    }
}
