package flaxfield.zones

import flaxfield.arrays.MachineHealth
import flaxfield.store.ClusterView

/**
 * The machines of returning zones that may get new work: the first ones by name among those not known to be silent or
 * faulty. Every controller opens the same ones at the same revision, and they stay the same while they are healthy.
 * Results are cached until the zone's record or the machines change. Owned by the owner thread.
 */
class OpenMachines(private val view: ClusterView) {
    private class CacheEntry(val record: ZoneRecord, val machinesVersion: Long, val names: Set<String>)

    private val cache = HashMap<String, CacheEntry>()

    /** The names of the open machines in the zone of [record]. */
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
            .filter { it.zone == record.zone && it.isSchedulable && view.machineStatus(it.name)?.state !in UNHEALTHY }
            .map { it.name }
            .sorted()
            .take(limit)
            .toSet()
    }

    private companion object {
        val UNHEALTHY = setOf(MachineHealth.SILENT, MachineHealth.FAULTY)
    }
}
