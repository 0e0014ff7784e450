package flaxfield.arrays

import flaxfield.codec.Obj

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
}

/** One machine in a part's summary. */
data class HostRoom(
    val state: HostState,
    val tenure: ULong,
    val address: String,
    /** Images that it likely holds, the latest used last. */
    val images: List<String>,
)

/** What a part tells the leader about its machines, under one term. Free room follows from the records. */
data class RoomSummary(val term: ULong, val hosts: Map<String, HostRoom>)

object RoomCodec {
    fun encode(s: RoomSummary): Map<String, Any?> = mapOf(
        "term" to s.term,
        "hosts" to s.hosts.map { (name, h) -> listOf(name, h.state.ordinal, h.tenure, h.address, h.images) },
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
    )
}
