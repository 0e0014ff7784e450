package flaxfield.store

import flaxfield.codec.FieldMap

/** The answer to the read of one key. */
sealed interface ReadResult {
    /** The key's value. */
    data class Found(val value: FieldMap) : ReadResult

    /** There is no such key as of [revision]. */
    data class Absent(val revision: ULong) : ReadResult

    /** No answer, one that can't be read, or an error. */
    data object Failed : ReadResult
}
