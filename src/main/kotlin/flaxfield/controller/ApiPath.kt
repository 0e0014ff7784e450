package flaxfield.controller

/** The paths of the HTTP interface to workers and users. */
object ApiPath {
    /** Heartbeats of workers. */
    const val HEARTBEAT = "/hello"

    /** Submissions of jobs; a job's own path is [JOB_PREFIX] and its id. */
    const val JOBS = "/work"
    const val JOB_PREFIX = "/work/"

    /** Follows a job's path in a request to cancel it. */
    const val CANCEL_SUFFIX = "/cancel"
    const val READY = "/ready"
    const val METRICS = "/metrics"
}
