package flaxfield.store

import flaxfield.codec.FieldMap

/** The result of reading one key. */
sealed interface ReadResult {
    /** The key's value. */
    data class Found(val value: FieldMap) : ReadResult

    /** The key does not exist as of [revision]. */
    data class Absent(val revision: ULong) : ReadResult

    /** No response, a malformed one, or an error. */
    data object Failed : ReadResult
}
