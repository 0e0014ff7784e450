package flaxfield.fleet

import flaxfield.codec.FieldMap
import flaxfield.jobs.Resources
import flaxfield.store.StoreKeys

/** Encodes and decodes stored machines, rentals and machine types. The cloud sends machine types in the same form. */
object FleetCodec {
    private const val DEFAULT_FETCH_GB_PER_S = 1.0

    /** Returns the stored value of [machine], without its name (in the key) and its version (kept by the store). */
    fun encode(machine: Machine): Map<String, Any?> = mapOf(
        "flavor" to machine.machineType,
        "site" to machine.zone,
        "lendable" to machine.preemptible,
        "phase" to machine.phase.name.lowercase(),
        "at" to machine.rentedMs,
        "claim" to machine.reservation?.let(::encode),
    ) + (machine.cordon?.let { mapOf("cordon" to it) } ?: emptyMap())

    private fun encode(reservation: MachineReservation): Map<String, Any?> = mapOf(
        "job" to reservation.job,
        "term" to reservation.term,
        "tasks" to reservation.tasks,
        "evict" to reservation.evict,
        "try" to reservation.attempt,
    )

    /** Returns the machine stored under [key] at [version]. */
    fun decodeMachine(fields: FieldMap, key: String, version: ULong) = Machine(
        key.removePrefix(StoreKeys.MACHINE),
        fields.requireText("flavor"),
        fields.requireText("site"),
        fields.requireBoolean("lendable"),
        MachinePhase.valueOf(fields.requireText("phase").uppercase()),
        fields.requireUnsigned("at").toLong(),
        fields.nestedMap("claim")?.let(::decodeReservation),
        version,
        fields.text("cordon"),
    )

    private fun decodeReservation(fields: FieldMap) = MachineReservation(
        fields.requireText("job"),
        fields.requireUnsigned("term"),
        fields.int("tasks") ?: 1,
        fields.boolean("evict") ?: false,
        fields.unsigned("try")?.toLong() ?: 0L,
    )

    /** Returns the stored value of [rental], without its name (in the key) and its version (kept by the store). */
    fun encode(rental: Rental): Map<String, Any?> = mapOf(
        "flavor" to rental.machineType,
        "site" to rental.zone,
        "lendable" to rental.preemptible,
        "count" to rental.count,
        "at" to rental.requestedMs,
    )

    /** Returns the rental stored under [key] at [version]. */
    fun decodeRental(fields: FieldMap, key: String, version: ULong) = Rental(
        key.removePrefix(StoreKeys.RENTAL),
        fields.requireText("flavor"),
        fields.requireText("site"),
        fields.requireBoolean("lendable"),
        fields.requireInt("count"),
        fields.requireUnsigned("at").toLong(),
        version,
    )

    /** Returns the stored value of all machine types, as listed by the cloud at [atMs]. */
    fun encodeMachineTypes(all: Collection<MachineType>, atMs: Long): Map<String, Any?> = mapOf(
        "at" to atMs,
        "flavors" to all.map(::encode),
    )

    private fun encode(machineType: MachineType): Map<String, Any?> = mapOf(
        "label" to machineType.label,
        "vcpus" to machineType.capacity.cpus,
        "accelerators" to machineType.capacity.gpus,
        "ram_gb" to machineType.capacity.memoryGb,
        "local_gb" to machineType.cacheGb,
        "pull_gb_per_s" to machineType.fetchGbPerS,
        "rate" to machineType.onDemandPricePerHour,
        "low_price" to machineType.spotPricePerHour,
        "ready_s" to machineType.bootTimeS,
        "sites" to machineType.zones,
    )

    /** Decodes machine types from the cloud's response or from their stored copy; the result is keyed by label. */
    fun machineTypes(fields: FieldMap): Map<String, MachineType> =
        fields.mapList("flavors").map(::decodeMachineType).associateBy { it.label }

    private fun decodeMachineType(fields: FieldMap) = MachineType(
        fields.requireText("label"),
        Resources(fields.requireNumber("vcpus"), fields.requireNumber("accelerators"), fields.requireNumber("ram_gb")),
        fields.number("local_gb") ?: 0.0,
        fields.number("pull_gb_per_s") ?: DEFAULT_FETCH_GB_PER_S,
        fields.requireNumber("rate"),
        fields.number("low_price") ?: fields.requireNumber("rate"),
        fields.requireNumber("ready_s"),
        fields.textList("sites").orEmpty(),
    )
}
