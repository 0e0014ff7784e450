package flaxfield.fleet

/**
 * Machines that the cloud lists and no record names: rented by a request that was abandoned, or by a process that has
 * ended. A machine may get a record at any time between two lists.
 */
class OrphanedMachines {
    private val orphanedSinceNs = HashMap<String, Long>()

    /** Takes in a complete list of the cloud's machines, where [known] are those with records. */
    fun update(listed: Collection<String>, known: Set<String>, nowNs: Long) {
        val orphaned = listed.filterTo(HashSet()) { it !in known }
        orphanedSinceNs.keys.retainAll(orphaned)
        for (machineName in orphaned) orphanedSinceNs.putIfAbsent(machineName, nowNs)
    }

    /**
     * Those without a record since before [beforeNs], and without one now: a machine may have got its record after the
     * last list, and must not be returned with its tasks.
     */
    fun orphanedBefore(known: Set<String>, beforeNs: Long): List<String> =
        orphanedSinceNs.filter { (machineName, since) -> since < beforeNs && machineName !in known }.keys.sorted()

    /** Drops [machineName], which has been returned. */
    fun remove(machineName: String) {
        orphanedSinceNs.remove(machineName)
    }

    /** Drops all. */
    fun clear() = orphanedSinceNs.clear()
}
