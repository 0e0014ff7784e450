package flaxfield.codec

/** Thrown if bytes cannot be decoded, or if a field or setting is missing or invalid. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)
