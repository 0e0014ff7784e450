package flaxfield.arrays

import flaxfield.zones.ZoneCoverage

/**
 * What a shard owner publishes to the leader about some of its machines, valid under one [term]. It carries no free
 * resources: those follow from the task records.
 */
data class ShardSummary(
    val term: ULong,
    /** The status of each machine, by name. */
    val machines: Map<String, MachineStatus>,
    /** The heartbeats that arrive from each zone: on the first page only, and null where zones are not watched. */
    val zoneCoverage: Map<String, ZoneCoverage>? = null,
)
