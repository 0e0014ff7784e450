package flaxfield.arrays

import flaxfield.BYTES_PER_KIB
import flaxfield.codec.FieldMap
import flaxfield.zones.HeartbeatCoverage
import flaxfield.zones.ZoneCoverage

/** How a machine stands with its owner. */
enum class MachineHealth {
    /** Known to us, its worker has not reported to this owner yet. */
    UNSEEN,
    OK,

    /** It reported, and has stopped doing so. */
    SILENT,

    /** It fails the tasks it starts. */
    FAULTY,

    /** The cloud has said that it takes it back. */
    NOTICE,

    /** A task failed on it, and it is not yet known whether the machine or the job is to blame. */
    SUSPECT,
}

/** One machine in a part's summary. */
data class MachineStatus(
    val state: MachineHealth,
    val incarnation: ULong,
    val address: String,
    /** Images that it likely holds, the latest used last. */
    val images: List<String>,
)

/** What a part tells the leader about some of its machines, under one term. Free room follows from the records. */
data class ShardSummary(
    val term: ULong,
    val hosts: Map<String, MachineStatus>,
    /** What it hears of each zone: on its first page only, and only where zones are watched. */
    val zoneCoverage: Map<String, ZoneCoverage>? = null,
)

/**
 * Pure: a part's machines dealt into summaries that each fit one value of the state service. One value for
 * all was refused as too large at some 100 machines, and was written whole at any change.
 */
object ShardSummaryPages {
    /** A machine's row as it is counted: name, state, session and address, with its images kept below the rest. */
    const val ROW_BYTES = 320

    /** What a row takes without its images. */
    private const val BARE_BYTES = 100

    /** The part of a value that rows may fill. */
    private const val FILL = 0.75

    /** How many pages [machines] need, at least [now]: a power of two, so that pages split and rows stay put. */
    fun count(machines: Int, valueKb: Double, now: Int): Int {
        var pages = maxOf(1, now)
        // Hashing deals unevenly: the fullest page of a few holds well under twice the mean.
        while (machines.toDouble() * ROW_BYTES * UNEVEN > pages * valueKb * BYTES_PER_KIB * FILL) pages *= 2
        return pages
    }

    fun page(machineName: String, pages: Int): Int = Math.floorMod(machineName.hashCode() * SPREAD ushr SHIFT, pages)

    /** The latest used of [images] that fit a row. */
    fun images(images: List<String>): List<String> {
        var left = ROW_BYTES - BARE_BYTES
        return images.asReversed().takeWhile { name ->
            left -= name.length + QUOTES
            left >= 0
        }.asReversed()
    }

    private const val UNEVEN = 1.3

    /** Two quotes and a comma. */
    private const val QUOTES = 3

    /** Names differ in their last digits: multiplied, they differ in the high bits as well. */
    private const val SPREAD = -0x61c88647
    private const val SHIFT = 16
}

object ShardSummaryCodec {
    fun encode(s: ShardSummary): Map<String, Any?> = mapOf(
        "term" to s.term,
        "hosts" to s.hosts.map { (name, h) -> listOf(name, h.state.ordinal, h.incarnation, h.address, h.images) },
    ) +
        (
            s.zoneCoverage?.let {
                mapOf("zones" to it.map { (zone, h) -> listOf(zone, h.expected, h.coverage.ordinal) })
            }
                ?: emptyMap()
            )

    fun decode(o: FieldMap): ShardSummary = ShardSummary(
        o.requireUnsigned("term"),
        o.list("hosts").orEmpty().associate { row ->
            row as List<*>
            row[0] as String to MachineStatus(
                MachineHealth.entries[(row[1] as Number).toInt()],
                FieldMap.requireUnsigned(row[2]),
                row[3] as String,
                (row[4] as List<*>).map { it as String },
            )
        },
        o.list("zones")?.associate { row ->
            row as List<*>
            row[0] as String to
                ZoneCoverage((row[1] as Number).toInt(), HeartbeatCoverage.entries[(row[2] as Number).toInt()])
        },
    )
}
