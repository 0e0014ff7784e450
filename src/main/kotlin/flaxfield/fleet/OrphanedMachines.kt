package flaxfield.fleet

/**
 * Tracks orphaned machines, which the cloud lists but which have no record. They were rented by an abandoned request or
 * by a process that has terminated. A machine may get its record at any time between two lists.
 */
class OrphanedMachines {
    private val orphanedSinceNs = HashMap<String, Long>()

    /** Updates the orphaned machines from the cloud's complete list; [known] are the machines with records. */
    fun update(listed: Collection<String>, known: Set<String>, nowNs: Long) {
        val orphaned = listed.filterTo(HashSet()) { it !in known }
        orphanedSinceNs.keys.retainAll(orphaned)
        for (machineName in orphaned) orphanedSinceNs.putIfAbsent(machineName, nowNs)
    }

    /**
     * Returns the machines that have been orphaned since before [beforeNs] and are not [known] now. A machine may have
     * got its record after the last list, and must then not be returned with its tasks.
     */
    fun orphanedBefore(known: Set<String>, beforeNs: Long): List<String> =
        orphanedSinceNs.filter { (machineName, since) -> since < beforeNs && machineName !in known }.keys.sorted()

    /** Stops tracking [machineName], which has been returned. */
    fun remove(machineName: String) {
        orphanedSinceNs.remove(machineName)
    }

    /** Stops tracking all machines. */
    fun clear() = orphanedSinceNs.clear()
}
