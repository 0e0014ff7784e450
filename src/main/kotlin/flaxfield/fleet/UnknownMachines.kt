package flaxfield.fleet

/**
 * Machines that the cloud lists and nobody knows: rented by a request that was given up on, or by a process that is
 * dead. Known ones are in records; a machine may be taken in at any time between two lists.
 */
class UnknownMachines {
    private val sinceNs = HashMap<String, Long>()

    /** Notes what a list tells. */
    fun listed(hosts: Collection<String>, known: Set<String>, nowNs: Long) {
        val unknown = hosts.filterTo(HashSet()) { it !in known }
        sinceNs.keys.retainAll(unknown)
        for (u in unknown) sinceNs.putIfAbsent(u, nowNs)
    }

    /**
     * Those that nobody has known since before [beforeNs], nor knows now. A machine was taken in after the last list
     * that told of it as a stranger, and returned with its tasks while the next list was long in coming.
     */
    fun due(known: Set<String>, beforeNs: Long): List<String> =
        sinceNs.filter { (machineName, since) -> since < beforeNs && machineName !in known }.keys.sorted()

    fun forget(machineName: String) {
        sinceNs.remove(machineName)
    }

    fun clear() = sinceNs.clear()
}
