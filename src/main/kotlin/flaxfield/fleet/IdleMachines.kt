package flaxfield.fleet

/** Tracks since when machines have been idle, as found by the capacity plans. Confined to the owner thread. */
class IdleMachines {
    private val sinceNs = HashMap<String, Long>()

    /** Returns since when [machineName] has been idle (monotonic clock); null if it is not idle. */
    fun idleSinceNs(machineName: String): Long? = sinceNs[machineName]

    /** Records whether [machineName] is idle at [nowNs]. */
    fun update(machineName: String, isIdle: Boolean, nowNs: Long) {
        if (isIdle) sinceNs.putIfAbsent(machineName, nowNs) else sinceNs.remove(machineName)
    }

    /** Stops tracking all machines that are not in [machineNames]. */
    fun retain(machineNames: Set<String>) {
        sinceNs.keys.retainAll(machineNames)
    }

    /** Stops tracking all machines. */
    fun clear() = sinceNs.clear()
}
