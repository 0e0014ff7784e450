package flaxfield.store

/** The keys of the store. Every controller's view contains all keys under [LIVE]; finished jobs are outside of it. */
object StoreKeys {
    const val LIVE = "live/"
    const val ASSIGNMENT = "live/assignment"
    const val LEADER = "live/leader"
    const val MACHINE_TYPES = "live/types"

    /** Prefix of the members, by controller name. */
    const val MEMBER = "live/member/"

    /** Prefix of the heads of unfinished jobs, by job id. */
    const val JOB = "live/job/"

    /** Prefix of the further chunks of unfinished jobs, by job id and chunk number. */
    const val JOB_CHUNK = "live/part/"

    /** Prefix of the machines, by name. */
    const val MACHINE = "live/host/"

    /** Prefix of the requests to rent machines, by name. */
    const val RENTAL = "live/hire/"

    /** Prefix of the shard summaries, by controller name and page number. */
    const val SHARD_SUMMARY = "live/room/"

    /** Prefix of the keys that serialize the writes against a team's quota, by team. */
    const val QUOTA_FENCE = "live/team/"

    /** Prefix of the zone states that the leader has decided, by zone. */
    const val ZONE = "live/zone/"

    /** Prefix of the records of finished jobs, by job id. */
    const val FINISHED_JOB = "over/"

    /**
     * Prefix of the records of the subsystem that a fleet file enables; controllers without a fleet file ignore them.
     */
    const val FLEET = "live/fleet/"

    /** A key that is never written: reading it returns the current revision for the cost of one request. */
    const val REVISION_PROBE = "none"

    /** Returns the key of one page of [controller]'s shard summary. */
    fun shardSummary(controller: String, page: Int): String = "$SHARD_SUMMARY$controller/$page"

    /** Returns the key of a job's chunk; chunk 0 is stored in the head. */
    fun chunk(job: String, number: Int): String = if (number == 0) JOB + job else "$JOB_CHUNK$job/$number"
}
