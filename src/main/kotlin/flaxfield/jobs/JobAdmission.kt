package flaxfield.jobs

import flaxfield.fleet.MachineType
import flaxfield.settings.Team

/** Pure: whether a well-formed job can ever run. */
object JobAdmission {
    /** The reason why not, or null. */
    fun refuse(s: JobSpec, teams: Map<String, Team>, machineTypes: Map<String, MachineType>): String? {
        val team = teams[s.team] ?: return "unknown team ${s.team}"
        if (machineTypes.values.none { allowed(s, it) }) return "a task fits no allowed machine type"
        val asked = if (s.jobKind == JobKind.GANG) s.taskResources * s.taskCount else s.taskResources
        if (over(asked.cpus, team.cpusMax) ||
            over(asked.gpus, team.gpusMax)
        ) {
            return "more than the limit of team ${team.name}"
        }
        return null
    }

    /** Whether a task of [s] may run on machines of type [f] in at least one zone. */
    fun allowed(s: JobSpec, f: MachineType): Boolean = (s.machineTypes == null || f.label in s.machineTypes) &&
        f.room.canHold(s.taskResources) &&
        (s.zone == null || s.zone in f.zones)

    private fun over(asked: Double, limit: Double) = limit > 0.0 && asked > limit + EPSILON

    private const val EPSILON = 1e-6
}
