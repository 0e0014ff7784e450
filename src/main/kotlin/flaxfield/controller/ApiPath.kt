package flaxfield.controller

/** The paths of the HTTP API for workers and users. */
object ApiPath {
    /** Heartbeats of workers. */
    const val HEARTBEAT = "/hello"

    /** Job submissions. The path of one job is [JOB_PREFIX] followed by its id. */
    const val JOBS = "/work"
    const val JOB_PREFIX = "/work/"

    /** Appended to a job's path to cancel the job. */
    const val CANCEL_SUFFIX = "/cancel"
    const val READY = "/ready"
    const val METRICS = "/metrics"
}
