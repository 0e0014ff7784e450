package flaxfield.jobs

import flaxfield.fleet.MachineType
import flaxfield.settings.Team

/** Decides whether a well-formed job can ever run. Pure functions. */
object JobAdmission {
    /** Tolerance for rounding: a product of decimal amounts may exceed an equal limit in its last bit. */
    private const val EPSILON = 1e-6

    /** Returns why [spec] can never run, or null if it can. */
    fun rejectionReason(
        spec: JobSpec,
        teams: Map<String, Team>,
        machineTypes: Map<String, MachineType>,
        gangSize: GangTransactionSize,
    ): String? {
        val team = teams[spec.team] ?: return "unknown team ${spec.team}"
        if (machineTypes.values.none { allowed(spec, it) }) return "a task fits no allowed machine type"
        val requested = if (spec.jobKind == JobKind.GANG) spec.taskResources * spec.taskCount else spec.taskResources
        if (exceeds(requested.cpus, team.cpusMax) || exceeds(requested.gpus, team.gpusMax)) {
            return "more than the limit of team ${team.name}"
        }
        return gangSize.rejectionReason(spec)
    }

    /** Whether a task of [spec] may run on machines of [machineType] in at least one zone. */
    fun allowed(spec: JobSpec, machineType: MachineType): Boolean =
        (spec.machineTypes == null || machineType.label in spec.machineTypes) &&
            MachineRoom(machineType.capacity).canHold(spec) &&
            (spec.zone == null || spec.zone in machineType.zones)

    /** Whether [requested] is above [limit]; a limit of 0 means none. */
    private fun exceeds(requested: Double, limit: Double) = limit > 0.0 && requested > limit + EPSILON
}
