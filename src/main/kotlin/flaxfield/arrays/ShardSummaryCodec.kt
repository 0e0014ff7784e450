package flaxfield.arrays

import flaxfield.codec.FieldMap
import flaxfield.zones.HeartbeatCoverage
import flaxfield.zones.ZoneCoverage

/**
 * Encodes and decodes the stored form of [ShardSummary]. Rows are lists to save space; health and coverage are stored
 * by ordinal.
 */
object ShardSummaryCodec {
    /** Encodes [summary]. Omits the zones if it has no zone coverage. */
    fun encode(summary: ShardSummary): Map<String, Any?> {
        val fields = mapOf("term" to summary.term, "hosts" to summary.machines.map(::machineRow))
        val zoneCoverage = summary.zoneCoverage ?: return fields
        return fields + mapOf(
            "zones" to zoneCoverage.map { (zone, report) -> listOf(zone, report.expected, report.coverage.ordinal) },
        )
    }

    private fun machineRow(entry: Map.Entry<String, MachineStatus>): List<Any?> {
        val (name, status) = entry
        return listOf(name, status.health.ordinal, status.incarnation, status.address, status.images)
    }

    /** Decodes a stored summary. Throws if [fields] are not a valid summary. */
    fun decode(fields: FieldMap): ShardSummary = ShardSummary(
        fields.requireUnsigned("term"),
        fields.list("hosts").orEmpty().associate { row ->
            row as List<*>
            row[0] as String to MachineStatus(
                MachineHealth.entries[(row[1] as Number).toInt()],
                FieldMap.requireUnsigned(row[2]),
                row[3] as String,
                (row[4] as List<*>).map { it as String },
            )
        },
        fields.list("zones")?.associate { row ->
            row as List<*>
            row[0] as String to
                ZoneCoverage((row[1] as Number).toInt(), HeartbeatCoverage.entries[(row[2] as Number).toInt()])
        },
    )
}
