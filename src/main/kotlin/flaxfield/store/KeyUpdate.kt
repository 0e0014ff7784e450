package flaxfield.store

import flaxfield.codec.FieldMap

/** A key as a list or a watch shows it; a null [value] says that it was deleted at [version]. */
data class KeyUpdate(val key: String, val value: FieldMap?, val version: ULong)
