package flaxfield.operator

import flaxfield.drain.FleetSnapshot
import flaxfield.drain.FleetZoneRules
import flaxfield.drain.TeamShareCalculator
import flaxfield.operator.v1.FairShare
import flaxfield.operator.v1.HeldTasks
import flaxfield.operator.v1.Zone
import flaxfield.settings.Team
import flaxfield.zones.RepeatGuard
import flaxfield.zones.ReturnRamp
import flaxfield.zones.ZoneRecord

/** Builds the responses about zones from one snapshot. Pure: all controllers give the same response at a revision. */
class ZoneResponses(private val snapshot: FleetSnapshot, private val teams: Map<String, Team>) {
    private val rules = FleetZoneRules { snapshot }
    private val guard = RepeatGuard(rules) { snapshot.zones[it] }

    /** Returns all zones in which machines are offered or that have a record, sorted by name. */
    fun zones(): List<Zone> {
        val offeredZones = snapshot.machineTypes.values.flatMap { it.zones }
        return (offeredZones + snapshot.zones.keys).toSortedSet().map(::zoneMessage)
    }

    /** Returns the zone called [name], or null if it does not exist. */
    fun zone(name: String): Zone? = zones().firstOrNull { it.name == name }

    private fun zoneMessage(name: String): Zone {
        val record = snapshot.zones[name] ?: ZoneRecord.healthy(name, 0)
        val machines = snapshot.machines.values.filter { it.zone == name }
        val abandoned = snapshot.abandons.values.filter { it.zone == name && it.incarnation == record.incarnation }
        return Zone.newBuilder()
            .setName(name)
            .setState(record.state.name.lowercase())
            .setIncarnation(record.incarnation)
            .setSinceMs(record.sinceMs)
            .setMachines(machines.size)
            .setOpenMachines(minOf(ReturnRamp.limit(record) ?: machines.size, machines.size))
            .addAllHeld(heldTasks(name, machines.mapTo(HashSet()) { it.name }))
            .addAllAbandoned(abandoned.map { it.jobClass }.sorted())
            .build()
    }

    private fun heldTasks(zone: String, machines: Set<String>): List<HeldTasks> {
        val byClass = sortedMapOf<String, Int>()
        for (job in snapshot.jobs.values) {
            if (!guard.isHeld(job, zone)) continue
            val tasks = job.allPlaced().count { it.machineName in machines }
            if (tasks > 0) byClass.merge(job.spec.jobClass, tasks, Int::plus)
        }
        return byClass.map { (jobClass, tasks) -> HeldTasks.newBuilder().setJobClass(jobClass).setTasks(tasks).build() }
    }

    /** Returns each team's capacity and its fair share. */
    fun shares(): List<FairShare> = TeamShareCalculator(snapshot, teams, rules).shares().map { share ->
        FairShare.newBuilder()
            .setTeam(share.team)
            .setTarget(share.target.toMessage())
            .setHeld(share.allocated.toMessage())
            .setShortfall(share.shortfall)
            .build()
    }
}
