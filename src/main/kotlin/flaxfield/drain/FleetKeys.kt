package flaxfield.drain

import flaxfield.store.StoreKeys

/** Key prefixes of the fleet records in the state service. */
object FleetKeys {
    /** Drains, by id. */
    const val DRAIN = StoreKeys.FLEET + "drain/"

    /** Ledgers, by team. */
    const val LEDGER = StoreKeys.FLEET + "ledger/"

    /** Published fleet files, by controller name. */
    const val CONFIG = StoreKeys.FLEET + "config/"

    /** Loss records, by controller name: a controller writes its record with each loss of tasks that it commits. */
    const val LOSS = StoreKeys.FLEET + "loss/"

    /** Operators' orders to abandon the tasks of a job class in a lost zone, by the order's name. */
    const val ABANDON = StoreKeys.FLEET + "abandon/"
}
