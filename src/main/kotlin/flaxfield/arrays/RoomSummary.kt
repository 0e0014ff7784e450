package flaxfield.arrays

import flaxfield.BYTES_PER_KIB
import flaxfield.codec.Obj
import flaxfield.zones.Hearing
import flaxfield.zones.ZoneHearing

/** How a machine stands with its owner. */
enum class HostState {
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
data class HostRoom(
    val state: HostState,
    val session: ULong,
    val address: String,
    /** Images that it likely holds, the latest used last. */
    val images: List<String>,
)

/** What a part tells the leader about some of its machines, under one term. Free room follows from the records. */
data class RoomSummary(
    val term: ULong,
    val hosts: Map<String, HostRoom>,
    /** What it hears of each zone: on its first page only, and only where zones are watched. */
    val hearings: Map<String, ZoneHearing>? = null,
)

/**
 * Pure: a part's machines dealt into summaries that each fit one value of the state service. One value for
 * all was refused as too large at some 100 machines, and was written whole at any change.
 */
object RoomPages {
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

    fun page(host: String, pages: Int): Int = Math.floorMod(host.hashCode() * SPREAD ushr SHIFT, pages)

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

object RoomCodec {
    fun encode(s: RoomSummary): Map<String, Any?> = mapOf(
        "term" to s.term,
        "hosts" to s.hosts.map { (name, h) -> listOf(name, h.state.ordinal, h.session, h.address, h.images) },
    ) +
        (
            s.hearings?.let { mapOf("zones" to it.map { (zone, h) -> listOf(zone, h.expected, h.hearing.ordinal) }) }
                ?: emptyMap()
            )

    fun decode(o: Obj): RoomSummary = RoomSummary(
        o.needCount("term"),
        o.list("hosts").orEmpty().associate { row ->
            row as List<*>
            row[0] as String to HostRoom(
                HostState.entries[(row[1] as Number).toInt()],
                Obj.needCount(row[2]),
                row[3] as String,
                (row[4] as List<*>).map { it as String },
            )
        },
        o.list("zones")?.associate { row ->
            row as List<*>
            row[0] as String to ZoneHearing((row[1] as Number).toInt(), Hearing.entries[(row[2] as Number).toInt()])
        },
    )
}
