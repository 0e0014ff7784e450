package flaxfield.fleet

import flaxfield.codec.FieldMap
import flaxfield.jobs.Resources
import flaxfield.store.StoreKeys

/** A machine type as the cloud offers it. */
data class MachineType(
    val label: String,
    val room: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val rate: Double,
    val spotPricePerHour: Double,
    val bootTimeS: Double,
    val zones: List<String>,
)

enum class MachinePhase {
    UP,

    /** No longer needed: nothing new is placed, and the arrays that fill it make way. */
    DRAINING,

    /** About to be returned, or returned without the answer having been seen. */
    RETIRING,
}

/**
 * A room claimed for a gang by the leader. It is void under any other term than the one it was made in, and once
 * the gang's [attempt] is placed or the gang is over: nobody has to write the machine's record again to free it.
 */
data class MachineReservation(val job: String, val term: ULong, val tasks: Int, val evict: Boolean, val attempt: Long)

/** A machine we pay for, from its rental to the answer to its return. */
data class Machine(
    val name: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val phase: MachinePhase,
    val sinceMs: Long,
    val reservation: MachineReservation?,
    val version: ULong,
    /** The drain that keeps new work off this machine; null if none does. */
    val cordon: String? = null,
) {
    /** Whether it takes new work, as far as its record tells. */
    val takesWork: Boolean get() = phase == MachinePhase.UP && cordon == null
}

/** A rental written down before it is asked for, so that a new leader can ask again under the same name. */
data class Rental(
    val name: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val count: Int,
    val sinceMs: Long,
    val version: ULong,
)

object FleetCodec {
    fun encode(m: Machine): Map<String, Any?> = mapOf(
        "flavor" to m.machineType,
        "site" to m.zone,
        "lendable" to m.preemptible,
        "phase" to m.phase.name.lowercase(),
        "at" to m.sinceMs,
        "claim" to m.reservation?.let {
            mapOf("job" to it.job, "term" to it.term, "tasks" to it.tasks, "evict" to it.evict, "try" to it.attempt)
        },
    ) + (m.cordon?.let { mapOf("cordon" to it) } ?: emptyMap())

    fun machine(o: FieldMap, key: String, version: ULong) = Machine(
        key.removePrefix(StoreKeys.MACHINE),
        o.requireText("flavor"),
        o.requireText("site"),
        o.requireBoolean("lendable"),
        MachinePhase.valueOf(o.requireText("phase").uppercase()),
        o.requireUnsigned("at").toLong(),
        o.nestedMap("claim")?.let {
            MachineReservation(
                it.requireText("job"),
                it.requireUnsigned("term"),
                it.int("tasks") ?: 1,
                it.boolean("evict") ?: false,
                it.unsigned("try")?.toLong() ?: 0L,
            )
        },
        version,
        o.text("cordon"),
    )

    fun encode(h: Rental): Map<String, Any?> = mapOf(
        "flavor" to h.machineType,
        "site" to h.zone,
        "lendable" to h.preemptible,
        "count" to h.count,
        "at" to h.sinceMs,
    )

    fun hire(o: FieldMap, key: String, version: ULong) = Rental(
        key.removePrefix(StoreKeys.RENTAL),
        o.requireText("flavor"),
        o.requireText("site"),
        o.requireBoolean("lendable"),
        o.requireInt("count"),
        o.requireUnsigned("at").toLong(),
        version,
    )

    fun encodeFlavors(all: Collection<MachineType>, atMs: Long): Map<String, Any?> = mapOf(
        "at" to atMs,
        "flavors" to all.map {
            mapOf(
                "label" to it.label, "vcpus" to it.room.cpus, "accelerators" to it.room.gpus,
                "ram_gb" to it.room.ram, "local_gb" to it.cacheGb, "pull_gb_per_s" to it.fetchGbPerS,
                "rate" to it.rate, "low_price" to it.spotPricePerHour, "ready_s" to it.bootTimeS, "sites" to it.zones,
            )
        },
    )

    /** Reads the cloud's answer, or our own copy of it: both have the same shape. */
    fun machineTypes(o: FieldMap): Map<String, MachineType> = o.mapList("flavors").map {
        MachineType(
            it.requireText("label"),
            Resources(it.requireNumber("vcpus"), it.requireNumber("accelerators"), it.requireNumber("ram_gb")),
            it.number("local_gb") ?: 0.0,
            it.number("pull_gb_per_s") ?: 1.0,
            it.requireNumber("rate"),
            it.number("low_price") ?: it.requireNumber("rate"),
            it.requireNumber("ready_s"),
            it.textList("sites").orEmpty(),
        )
    }.associateBy { it.label }
}
