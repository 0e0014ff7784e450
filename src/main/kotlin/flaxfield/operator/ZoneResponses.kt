package flaxfield.operator

import flaxfield.drain.FleetSnapshot
import flaxfield.operator.v1.FairShare
import flaxfield.operator.v1.HeldTasks
import flaxfield.operator.v1.Zone
import flaxfield.settings.Team
import flaxfield.zones.FleetZoneRules
import flaxfield.zones.RepeatGuard
import flaxfield.zones.ReturnRamp
import flaxfield.zones.TeamShareCalculator
import flaxfield.zones.ZoneRecord

/** Pure: the zones of one snapshot as operators see them. The same on each controller at the same revision. */
class ZoneResponses(private val snapshot: FleetSnapshot, private val teams: Map<String, Team>) {
    private val rules = FleetZoneRules { snapshot }
    private val guard = RepeatGuard(rules) { snapshot.zones[it] }

    /** All zones that machines may be in, by name. */
    fun zones(): List<Zone> {
        val offered = snapshot.machineTypes.values.flatMap { it.zones }
        return (offered + snapshot.zones.keys).toSortedSet().map(::zoneMessage)
    }

    /** The zone called [name], or null. */
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
            .addAllHeld(held(name, machines.mapTo(HashSet()) { it.name }))
            .addAllAbandoned(abandoned.map { it.jobClass }.sorted())
            .build()
    }

    private fun held(zone: String, machines: Set<String>): List<HeldTasks> {
        val byClass = sortedMapOf<String, Int>()
        for (job in snapshot.jobs.values) {
            if (!guard.isHeld(job, zone)) continue
            val tasks = job.allPlaced().count { it.machineName in machines }
            if (tasks > 0) byClass.merge(job.spec.jobClass, tasks, Int::plus)
        }
        return byClass.map { (jobClass, tasks) -> HeldTasks.newBuilder().setJobClass(jobClass).setTasks(tasks).build() }
    }

    /** How each team's capacity compares with its fair share. */
    fun shares(): List<FairShare> = TeamShareCalculator(snapshot, teams, rules).shares().map { share ->
        FairShare.newBuilder()
            .setTeam(share.team)
            .setTarget(share.target.toMessage())
            .setHeld(share.allocated.toMessage())
            .setShortfall(share.shortfall)
            .build()
    }
}
