package flaxfield.drain

import flaxfield.store.StoreKeys

/** Prefixes of the keys of fleet records. */
object FleetKeys {
    /** Drains, by id. */
    const val DRAIN = StoreKeys.FLEET + "drain/"

    /** Ledgers, by team. */
    const val LEDGER = StoreKeys.FLEET + "ledger/"

    /** Published fleet files, by controller name. */
    const val CONFIG = StoreKeys.FLEET + "config/"

    /** Loss marks, by controller name. */
    const val LOSS = StoreKeys.FLEET + "loss/"

    /** Orders to abandon what classes had in lost zones, by the order's name. */
    const val ABANDON = StoreKeys.FLEET + "abandon/"
}
