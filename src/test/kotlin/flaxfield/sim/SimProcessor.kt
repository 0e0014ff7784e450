package flaxfield.sim

/** What a controller's processor works on, and what one piece of it takes while the share of a core is small. */
enum class Work(val costNs: Long) {
    REPORT(110 * SimLoop.MS),
    USER(80 * SimLoop.MS),
    PEER(15 * SimLoop.MS),

    /** An answer of the state service, the cloud or a worker. */
    FOLLOW_UP(30 * SimLoop.MS),

    /** One look at what is due. */
    TURN(70 * SimLoop.MS),
}

/**
 * The processor of one controller. While it is [slow], each piece of work takes its time and what comes meanwhile waits
 * in its order, so that a controller acts on the past, as one does that lacks processor time. What comes in beyond a
 * bound is refused, as by the first stage of a real node.
 */
class SimProcessor(private val loop: SimLoop) {
    var slow = false
    private var freeAtNs = 0L

    /** How far it is behind. */
    val behindNs: Long get() = maxOf(0L, freeAtNs - loop.nowNs)

    /** The most that it has been behind. */
    var mostBehindNs = 0L
        private set

    /** Whether work that comes from outside is still taken. */
    fun takes(work: Work): Boolean = behindNs < if (work == Work.USER) MAX_FOR_USERS_NS else MAX_NS

    /** Runs [block] when its turn has come. */
    fun run(work: Work, block: () -> Unit) {
        if (!slow && behindNs == 0L) return block()
        freeAtNs = maxOf(loop.nowNs, freeAtNs) + if (slow) work.costNs else 0L
        mostBehindNs = maxOf(mostBehindNs, behindNs)
        loop.after(freeAtNs - loop.nowNs, block)
    }

    /** A new process starts with nothing to do. */
    fun restart() {
        freeAtNs = 0L
    }

    private companion object {
        const val MAX_NS = 2 * SimLoop.SECOND
        const val MAX_FOR_USERS_NS = SimLoop.SECOND
    }
}
