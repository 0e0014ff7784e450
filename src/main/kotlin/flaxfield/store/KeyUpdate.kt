package flaxfield.store

import flaxfield.codec.FieldMap

/** A key as returned by a list or a watch; a null [value] means that it was deleted at [version]. */
data class KeyUpdate(val key: String, val value: FieldMap?, val version: ULong)
