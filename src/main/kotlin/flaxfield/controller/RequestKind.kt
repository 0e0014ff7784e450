package flaxfield.controller

/** What a request asks for, as the metrics tell requests apart: by path, without the ids in it. */
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
        /** The kind of a request to [path]. */
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
