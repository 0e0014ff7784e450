package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.store.ClusterView

/** Judges machines that have not come up yet by those of their type that have. Owned by the owner thread. */
class BootMonitor(private val view: ClusterView) {
    /** When the latest rented of the machines that have come up was rented, by machine type. */
    private val latestUpSinceMs = HashMap<String, Long>()

    /** Takes in the machines that have come up in the view; to be called before [status]. */
    fun update() {
        latestUpSinceMs.clear()
        for (machine in view.machines.values) {
            if (hasComeUp(machine)) latestUpSinceMs.merge(machine.machineType, machine.rentedMs, ::maxOf)
        }
    }

    /**
     * The status of a machine that does not report, at [nowMs]. One that has reported to an earlier owner is up, and
     * only has to find its present owner.
     */
    fun status(machine: Machine, machineType: MachineType, nowMs: Long): BootStatus {
        if (hasComeUp(machine)) return BootStatus.BOOTING
        val ageS = (nowMs - machine.rentedMs) / MILLIS_PER_SECOND
        val laterOnesUp = (latestUpSinceMs[machine.machineType] ?: 0L) >= machine.rentedMs
        return BootStatus.of(ageS, machineType.bootTimeS, laterOnesUp)
    }

    private fun hasComeUp(machine: Machine) = (view.lastKnownStatus(machine.name)?.incarnation ?: 0uL) > 0uL
}
