package flaxfield.store

import flaxfield.fleet.MachineType
import flaxfield.fleet.Rental
import flaxfield.membership.Member
import flaxfield.membership.ShardAssignment
import flaxfield.zones.ZoneRecord

/**
 * All records under [StoreKeys.LIVE] with their indexes, written by [ClusterReplica] and read through [ClusterView].
 */
internal class ClusterRecords {
    /** The store's revision up to which all changes are applied. */
    var revision: ULong = 0uL

    /** The version of each key that exists. */
    val versions = HashMap<String, ULong>()
    val placements = PlacementIndex()
    val jobs = JobRecords(versions, placements)
    val aggregates = JobAggregates(jobs)
    val machines = MachineRecords()
    val shardSummaries = ShardSummaryRecords()
    val members = HashMap<String, Member>()
    val rentals = HashMap<String, Rental>()
    val zones = HashMap<String, ZoneRecord>()
    var machineTypes: Map<String, MachineType> = emptyMap()
    var machineTypesWrittenMs: Long = 0
    var assignment: ShardAssignment? = null
    var leader: Member? = null

    fun clear() {
        revision = 0uL
        versions.clear()
        placements.clear()
        jobs.clear()
        machines.clear()
        shardSummaries.clear()
        members.clear()
        rentals.clear()
        zones.clear()
        machineTypes = emptyMap()
        assignment = null
        leader = null
    }
}
