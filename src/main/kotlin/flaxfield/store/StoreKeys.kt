package flaxfield.store

/** The state service's keys. All under [LIVE] are held in every controller's view; finished jobs are not. */
object StoreKeys {
    const val LIVE = "live/"
    const val ASSIGNMENT = "live/assignment"
    const val LEADER = "live/leader"
    const val MACHINE_TYPES = "live/types"

    /** Prefix of the members, by the controller's name. */
    const val MEMBER = "live/member/"

    /** Prefix of the heads of jobs that are not finished, by id. */
    const val JOB = "live/job/"

    /** Prefix of the further chunks of those jobs, by id and number. */
    const val JOB_CHUNK = "live/part/"

    /** Prefix of the machines, by name. */
    const val MACHINE = "live/host/"

    /** Prefix of the requests to scale out, by name. */
    const val RENTAL = "live/hire/"

    /** Prefix of the pages of the shards' summaries, by controller and number. */
    const val SHARD_SUMMARY = "live/room/"

    /** Prefix of the keys that serialize writes against one team's quota, by team. */
    const val QUOTA_FENCE = "live/team/"

    /** Prefix of the states of zones, as the leader has decided them, by zone. */
    const val ZONE = "live/zone/"

    /** Prefix of the records of finished jobs, by id. */
    const val FINISHED_JOB = "over/"

    /** Prefix of the records of what a fleet file switches on; a controller without one passes over them. */
    const val FLEET = "live/fleet/"

    /** Never written: a read of it tells the current revision at the price of one request. */
    const val REVISION_PROBE = "none"

    /** The key of one page of the summary that [controller] writes of its shard. */
    fun shardSummary(controller: String, page: Int): String = "$SHARD_SUMMARY$controller/$page"

    /** The key of a job's chunk; chunk 0 is stored with the head. */
    fun chunk(job: String, number: Int): String = if (number == 0) JOB + job else "$JOB_CHUNK$job/$number"
}
