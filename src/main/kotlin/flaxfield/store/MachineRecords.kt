package flaxfield.store

import flaxfield.codec.FieldMap
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine

/** The machines of the view, with an index of those that have a reservation. Used only by the owner thread. */
internal class MachineRecords {
    /** Incremented at each change of a machine. */
    var version = 0L
        private set

    /** The machines by name. */
    val byName = HashMap<String, Machine>()

    /** The names of the machines that have a reservation, whether active or void. */
    val reserved = HashSet<String>()

    fun clear() {
        byName.clear()
        reserved.clear()
        version++
    }

    /** Sets the record of machine [name], stored under [key]; a null [value] means that it was deleted. */
    fun set(name: String, key: String, value: FieldMap?, keyVersion: ULong) {
        version++
        if (value == null) byName.remove(name) else byName[name] = FleetCodec.decodeMachine(value, key, keyVersion)
        if (byName[name]?.reservation != null) reserved += name else reserved -= name
    }
}
