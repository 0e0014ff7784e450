package flaxfield.workers

import flaxfield.NANOS_PER_SECOND

/**
 * The machines whose records were deleted recently. Machine names are never reused, so any further heartbeat of such a
 * machine is a delayed duplicate. Entries expire by age, not by count, because the loss of a zone removes hundreds of
 * machines within seconds.
 */
internal class RemovedMachines(leaseS: Double) {
    private val retentionNs = (leaseS * RETENTION_LEASES * NANOS_PER_SECOND).toLong()

    /** The time at which each machine's record was deleted, oldest first. */
    private val removedAtNs = LinkedHashMap<String, Long>()

    operator fun contains(machineName: String): Boolean = machineName in removedAtNs

    /** Adds [machineName], whose record was deleted at [nowNs], and removes expired entries. */
    fun add(machineName: String, nowNs: Long) {
        removedAtNs[machineName] = nowNs
        val expiryNs = nowNs - retentionNs
        while (removedAtNs.isNotEmpty()) {
            val eldest = removedAtNs.entries.first()
            if (eldest.value >= expiryNs) break
            removedAtNs.remove(eldest.key)
        }
    }

    private companion object {
        /** A duplicate of a heartbeat can be delayed by well over one lease. */
        const val RETENTION_LEASES = 8.0
    }
}
