package flaxfield.zones

import flaxfield.arrays.MachineHealth
import flaxfield.store.ClusterView

/**
 * Selects the machines of returning zones on which tasks may be placed: the first ones by name that are not known to
 * be unreachable or faulty. Every controller selects the same machines at the same revision, and a machine stays
 * selected while it is healthy. The selection is cached until the zone's record or the machines change. Confined to
 * the owner thread.
 */
class OpenMachines(private val view: ClusterView) {
    private class CacheEntry(val record: ZoneRecord, val machinesVersion: Long, val names: Set<String>)

    private val cache = HashMap<String, CacheEntry>()

    /** Returns the names of the open machines in the zone of [record]. */
    fun names(record: ZoneRecord): Set<String> {
        val cached = cache[record.zone]
        if (cached != null && cached.record == record && cached.machinesVersion == view.machinesVersion) {
            return cached.names
        }
        val names = select(record)
        cache[record.zone] = CacheEntry(record, view.machinesVersion, names)
        return names
    }

    private fun select(record: ZoneRecord): Set<String> {
        val limit = ReturnRamp.limit(record) ?: Int.MAX_VALUE
        return view.machines.values
            .filter { it.zone == record.zone && it.isSchedulable && view.machineStatus(it.name)?.health !in UNHEALTHY }
            .map { it.name }
            .sorted()
            .take(limit)
            .toSet()
    }

    private companion object {
        val UNHEALTHY = setOf(MachineHealth.SILENT, MachineHealth.FAULTY)
    }
}
