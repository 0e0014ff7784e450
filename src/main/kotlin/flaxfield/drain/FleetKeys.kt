package flaxfield.drain

import flaxfield.store.StoreKeys

/** Prefixes of the keys of fleet records. */
object FleetKeys {
    const val DRAIN = StoreKeys.FLEET + "drain/"
    const val LEDGER = StoreKeys.FLEET + "ledger/"
    const val CONFIG = StoreKeys.FLEET + "config/"
    const val LOSS = StoreKeys.FLEET + "loss/"
    const val ABANDON = StoreKeys.FLEET + "abandon/"
}
