package flaxfield.workers

import flaxfield.NANOS_PER_SECOND

/**
 * Machines whose records were dropped. Names are never used again, so heartbeats of these machines are late copies.
 * Entries expire by time, not by count: after the loss of a zone hundreds of machines go within seconds.
 */
internal class DroppedMachines(leaseS: Double) {
    private val keepNs = (leaseS * KEEP_LEASES * NANOS_PER_SECOND).toLong()

    /** When each was dropped, the earliest first. */
    private val droppedNs = LinkedHashMap<String, Long>()

    operator fun contains(machineName: String): Boolean = machineName in droppedNs

    /** Notes that the record of [machineName] was dropped at [nowNs], and removes entries that have expired. */
    fun add(machineName: String, nowNs: Long) {
        droppedNs[machineName] = nowNs
        val expiryNs = nowNs - keepNs
        while (droppedNs.isNotEmpty()) {
            val eldest = droppedNs.entries.first()
            if (eldest.value >= expiryNs) break
            droppedNs.remove(eldest.key)
        }
    }

    private companion object {
        /** Copies of heartbeats may come late, at times by well over a lease. */
        const val KEEP_LEASES = 8.0
    }
}
