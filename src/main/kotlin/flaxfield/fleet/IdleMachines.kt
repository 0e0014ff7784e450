package flaxfield.fleet

/** Since when machines have not been needed, as the capacity plans found. Owned by the owner thread. */
class IdleMachines {
    private val sinceNs = HashMap<String, Long>()

    /** Since when [machineName] has been idle, by the monotonic clock; null if it is not. */
    fun idleSinceNs(machineName: String): Long? = sinceNs[machineName]

    /** Records whether [machineName] is idle at [nowNs]. */
    fun update(machineName: String, isIdle: Boolean, nowNs: Long) {
        if (isIdle) sinceNs.putIfAbsent(machineName, nowNs) else sinceNs.remove(machineName)
    }

    /** Drops all machines that are not in [machineNames]. */
    fun retain(machineNames: Set<String>) {
        sinceNs.keys.retainAll(machineNames)
    }

    /** Drops all machines. */
    fun clear() = sinceNs.clear()
}
