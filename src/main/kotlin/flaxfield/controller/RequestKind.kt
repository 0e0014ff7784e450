package flaxfield.controller

/** The kind of a request as a label of the request metrics, derived from its path without the ids in it. */
enum class RequestKind {
    HELLO,
    WORK,
    STATUS,
    CANCEL,
    READY,
    METRICS,
    OTHER,
    ;

    companion object {
        /** Returns the kind of a request to [path]. */
        fun of(path: String): RequestKind = when {
            path == ApiPath.HEARTBEAT -> HELLO
            path == ApiPath.JOBS -> WORK
            path == ApiPath.READY -> READY
            path == ApiPath.METRICS -> METRICS
            path.endsWith(ApiPath.CANCEL_SUFFIX) -> CANCEL
            path.startsWith(ApiPath.JOB_PREFIX) -> STATUS
            else -> OTHER
        }
    }
}
