package flaxfield.net

/** The HTTP status codes that controllers send or distinguish. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_CONTENT = 422
    const val SERVICE_UNAVAILABLE = 503
}
