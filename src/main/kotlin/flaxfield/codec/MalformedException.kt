package flaxfield.codec

/** Thrown for bytes that can't be decoded, and for a field or setting that is missing or invalid. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)
