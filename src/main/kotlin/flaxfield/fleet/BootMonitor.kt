package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.store.ClusterView

/**
 * Detects machines whose boot takes too long, by comparison with other machines of their type. Confined to the owner
 * thread.
 */
class BootMonitor(private val view: ClusterView) {
    /** The latest rental time among the machines that have reported, by machine type. */
    private val latestReportedRentalMs = HashMap<String, Long>()

    /** Updates the rental times from the view. Must be called before [status]. */
    fun update() {
        latestReportedRentalMs.clear()
        for (machine in view.machines.values) {
            if (hasReported(machine)) latestReportedRentalMs.merge(machine.machineType, machine.rentedMs, ::maxOf)
        }
    }

    /**
     * Returns the status at [nowMs] of a machine that has not reported to its current owner. One that has reported to
     * an earlier owner is up, and only has to find the current one.
     */
    fun status(machine: Machine, machineType: MachineType, nowMs: Long): BootStatus {
        if (hasReported(machine)) return BootStatus.BOOTING
        val ageS = (nowMs - machine.rentedMs) / MILLIS_PER_SECOND
        val laterRentalsUp = (latestReportedRentalMs[machine.machineType] ?: 0L) >= machine.rentedMs
        return BootStatus.of(ageS, machineType.bootTimeS, laterRentalsUp)
    }

    private fun hasReported(machine: Machine) = (view.lastKnownStatus(machine.name)?.incarnation ?: 0uL) > 0uL
}
