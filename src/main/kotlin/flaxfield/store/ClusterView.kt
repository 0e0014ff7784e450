package flaxfield.store

import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineReservation
import flaxfield.fleet.MachineType
import flaxfield.fleet.Rental
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.MachineRoom
import flaxfield.membership.Member
import flaxfield.membership.ShardAssignment
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.zones.ZoneCoverage
import flaxfield.zones.ZoneRecord

/**
 * The read-only view of the in-memory replica of everything under [StoreKeys.LIVE], as of [revision]. [ClusterReplica]
 * updates it. Used only by the owner thread. The collections are live: they change with the next update.
 */
class ClusterView internal constructor(private val records: ClusterRecords) {
    /** Notified of each update and whenever the view is cleared; null if there is no observer. */
    var observer: ViewObserver? = null

    /** The store's revision up to which all changes are in the view. */
    val revision: ULong get() = records.revision

    /** The unfinished jobs by id, in the order in which they were first seen. */
    val jobs: Map<String, Job> = records.jobs.byId

    /** Incremented at each change of a job; values derived from jobs stay valid while it is unchanged. */
    val jobsVersion: Long get() = records.jobs.version

    /** The ids of the jobs with a task to halt: the job is cancelled or the task is stopping. */
    val halting: Set<String> = records.jobs.halting

    /** The ids of the jobs that are gangs. */
    val gangs: Set<String> = records.jobs.gangs

    /** Chunks without a head in the view, by `job/number`: listed before it, or left behind by a finished job. */
    val orphanedChunks: Map<String, JobChunk> = records.jobs.orphanedChunks

    /** The machines by name. */
    val machines: Map<String, Machine> = records.machines.byName

    /** Incremented at each change of a machine; values derived from machines stay valid while it is unchanged. */
    val machinesVersion: Long get() = records.machines.version

    /** The names of the machines that have a reservation, whether active or void. */
    val reservedMachines: Set<String> = records.machines.reserved

    /** The machine types that the cloud offers, by name. */
    val machineTypes: Map<String, MachineType> get() = records.machineTypes

    /** When [machineTypes] was written, in milliseconds since the epoch by the writer's wall clock; 0 if never. */
    val machineTypesWrittenMs: Long get() = records.machineTypesWrittenMs

    /** The open requests to rent machines, by name. */
    val rentals: Map<String, Rental> = records.rentals

    /** The state of zones by name; zones that never failed have no record. */
    val zones: Map<String, ZoneRecord> = records.zones

    /** The controller processes that have joined the cluster, by name. */
    val members: Map<String, Member> = records.members

    /** The current shard assignment; null before the first one. */
    val assignment: ShardAssignment? get() = records.assignment

    /** The process that holds the leader key; null while there is none. */
    val leader: Member? get() = records.leader

    /** Returns the version of [key] for a transaction's condition; 0 if the key is absent. */
    fun version(key: String): ULong = records.versions[key] ?: 0uL

    /** Returns all tasks that are recorded on [machineName]. */
    fun placedTasksOn(machineName: String): List<PlacedTask> = records.placements.placedTasksOn(machineName, jobs)

    /** Whether no task is recorded on [machineName]. */
    fun isEmpty(machineName: String): Boolean = records.placements.isEmpty(machineName)

    /** Returns the jobs with a task recorded on [machineName]. */
    fun jobsOn(machineName: String): List<Job> =
        records.placements.jobIdsOn(machineName)?.mapNotNull { jobs[it] }.orEmpty()

    /** Returns the number of tasks of [job] that are recorded on [machineName]. */
    fun taskCountOn(machineName: String, job: String): Int = records.placements.taskCountOn(machineName, job)

    /** Returns the number of tasks that are recorded on [machineName]. */
    fun taskCountOn(machineName: String): Int = records.placements.taskCountOn(machineName)

    /** Returns the number of recorded tasks of [job] by machine name. */
    fun taskCountsOf(job: String): Map<String, Int> = records.placements.taskCountsOf(job)

    /** Returns the room that the recorded tasks of [machine] leave for others; null if its type is unknown. */
    fun room(machine: Machine): MachineRoom? = records.placements.room(machine, machineTypes, jobs)

    /** Returns the status of a machine that its owner has published under the current term; null without one. */
    fun machineStatus(machineName: String): MachineStatus? =
        assignment?.let { records.shardSummaries.status(machineName, it.term) }

    /** Returns the status of a machine that its most recent owner has published, under any term. */
    fun lastKnownStatus(machineName: String): MachineStatus? = records.shardSummaries.lastKnownStatus(machineName)

    /**
     * Returns the zone coverage that each controller has published under the current term, by controller and zone.
     * Controllers that publish no zone coverage are missing.
     */
    fun zoneCoverage(): Map<String, Map<String, ZoneCoverage>> =
        assignment?.let(records.shardSummaries::zoneCoverage).orEmpty()

    /** Returns the active reservation of [machine] for a gang; null if there is none or it is void. */
    fun activeReservation(machine: Machine): MachineReservation? =
        machine.reservation?.takeIf { it.term == assignment?.term && isAwaited(it) }

    /** Whether the gang of [reservation] still waits for the attempt that the reservation was made for. */
    private fun isAwaited(reservation: MachineReservation): Boolean {
        val gang = jobs[reservation.job] ?: return false
        return !gang.cancelled && gang.placedCount == 0 && gang.nextGangAttempt() == reservation.attempt
    }

    /** Returns a copy of the teams' current usage, which the caller may modify. */
    fun usage(teams: Map<String, Team>): TeamUsage = records.aggregates.usage(teams)

    /** Returns the ids of the jobs that are within their team's guarantee now. */
    fun guaranteed(teams: Map<String, Team>): Set<String> = records.aggregates.guaranteed(teams)
}
