package flaxfield.arrays

import flaxfield.zones.ZoneCoverage

/**
 * A page of the status that a shard owner publishes to the leader about its machines, valid under one [term]. It holds
 * no free resources, since these are computed from the task records.
 */
data class ShardSummary(
    val term: ULong,
    /** The status of each machine, by name. */
    val machines: Map<String, MachineStatus>,
    /** The heartbeat coverage by zone. Only on the first page, and null if zones are not monitored. */
    val zoneCoverage: Map<String, ZoneCoverage>? = null,
)
