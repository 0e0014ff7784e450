package flaxfield.net

/** The HTTP status codes that controllers send or tell apart. */
object HttpStatus {
    const val OK = 200
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val SERVICE_UNAVAILABLE = 503
}
