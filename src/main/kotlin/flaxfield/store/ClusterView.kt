package flaxfield.store

import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineReservation
import flaxfield.fleet.MachineType
import flaxfield.fleet.Rental
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.Resources
import flaxfield.membership.Member
import flaxfield.membership.ShardAssignment
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.zones.ZoneCoverage
import flaxfield.zones.ZoneRecord

/**
 * The read side of the in-memory copy of everything under [StoreKeys.LIVE], as of [revision]; [ClusterReplica] writes
 * it. Only the owner thread touches it. The collections are live: they change with the next update.
 */
class ClusterView internal constructor(private val records: ClusterRecords) {
    /** Told of each update and of each new list; null where nobody needs it. */
    var observer: ViewObserver? = null

    /** The store's revision up to which all changes are in the view. */
    val revision: ULong get() = records.revision

    /** The jobs that are not finished, by id, in the order in which they were first seen. */
    val jobs: Map<String, Job> = records.jobs.byId

    /** Grows with each change of a job: what is derived from jobs holds for as long as it stays. */
    val jobsVersion: Long get() = records.jobs.version

    /** The ids of jobs of which some task is to leave its machine: cancelled, or told to stop. */
    val halting: Set<String> = records.jobs.halting

    /** The ids of the jobs that are gangs. */
    val gangs: Set<String> = records.jobs.gangs

    /** Chunks whose head is not in the view, by `job/number`: listed before it, or left over by a finished job. */
    val orphanedChunks: Map<String, JobChunk> = records.jobs.orphanedChunks

    /** The machines by name. */
    val machines: Map<String, Machine> = records.machines.byName

    /** Grows with each change of a machine: what is derived from machines holds for as long as it stays. */
    val machinesVersion: Long get() = records.machines.version

    /** The names of the machines that carry a reservation, valid or void. */
    val reservedMachines: Set<String> = records.machines.reserved

    /** What the cloud offers, by the name of the type. */
    val machineTypes: Map<String, MachineType> get() = records.machineTypes

    /** When [machineTypes] were written, by the wall clock of the writer in milliseconds; 0 if never. */
    val machineTypesWrittenMs: Long get() = records.machineTypesWrittenMs

    /** The requests to scale out that are under way, by name. */
    val rentals: Map<String, Rental> = records.rentals

    /** The state of zones by name; those that never failed have no record. */
    val zones: Map<String, ZoneRecord> = records.zones

    /** The processes that have joined, by name. */
    val members: Map<String, Member> = records.members

    /** The shard assignment in force; null before the first. */
    val assignment: ShardAssignment? get() = records.assignment

    /** The process that holds the leader's key; null while nobody does. */
    val leader: Member? get() = records.leader

    /** The version of [key] for a transaction's condition: 0 if it is absent. */
    fun version(key: String): ULong = records.versions[key] ?: 0uL

    /** All task records on [machineName]. */
    fun on(machineName: String): List<PlacedTask> = records.placements.taskCountOn(machineName, jobs)

    /** Whether there is no task record on [machineName]. */
    fun isEmpty(machineName: String): Boolean = records.placements.isEmpty(machineName)

    /** The jobs that have records on [machineName]. */
    fun jobsOn(machineName: String): List<Job> =
        records.placements.jobIdsOn(machineName)?.mapNotNull { jobs[it] }.orEmpty()

    /** How many records [job] has on [machineName]. */
    fun taskCountOn(machineName: String, job: String): Int = records.placements.taskCountOn(machineName, job)

    /** How many records there are on [machineName]. */
    fun taskCountOn(machineName: String): Int = records.placements.taskCountOn(machineName)

    /** What the task records leave free on a machine; null if its type is unknown. */
    fun free(machine: Machine): Resources? = records.placements.free(machine, machineTypes, jobs)

    /** A machine's state as its owner under the current term has written it. */
    fun machineStatus(machineName: String): MachineStatus? =
        assignment?.let { records.shardSummaries.status(machineName, it.term) }

    /** The same from whichever owner wrote of it last. */
    fun lastKnownStatus(machineName: String): MachineStatus? = records.shardSummaries.lastKnownStatus(machineName)

    /**
     * What each controller has written under the current term of the zones that it hears, by controller and zone; one
     * that writes nothing of zones is missing.
     */
    fun zoneCoverage(): Map<String, Map<String, ZoneCoverage>> =
        assignment?.let(records.shardSummaries::zoneCoverage).orEmpty()

    /** The gang's reservation that holds a machine now; null if there is none or it is void. */
    fun activeReservation(machine: Machine): MachineReservation? =
        machine.reservation?.takeIf { it.term == assignment?.term && isAwaited(it) }

    /** Whether the gang of [reservation] still waits for the attempt that it was made for. */
    private fun isAwaited(reservation: MachineReservation): Boolean {
        val gang = jobs[reservation.job] ?: return false
        return !gang.cancelled && gang.placedCount == 0 && gang.nextGangAttempt() == reservation.attempt
    }

    /** What the teams use now; the caller may add to its copy. */
    fun usage(teams: Map<String, Team>): TeamUsage = records.aggregates.usage(teams)

    /** The ids of the jobs within their team's guarantee now. */
    fun guaranteed(teams: Map<String, Team>): Set<String> = records.aggregates.guaranteed(teams)
}
