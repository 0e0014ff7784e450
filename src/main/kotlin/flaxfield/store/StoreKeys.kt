package flaxfield.store

/** The state service's keys. All under [LIVE] are held in every node's view; finished jobs are not. */
object StoreKeys {
    const val LIVE = "live/"
    const val ASSIGNMENT = "live/assignment"
    const val LEADER = "live/leader"
    const val MACHINE_TYPES = "live/types"
    const val MEMBER = "live/member/"
    const val JOB = "live/job/"
    const val JOB_CHUNK = "live/part/"
    const val MACHINE = "live/host/"
    const val RENTAL = "live/hire/"
    const val SHARD_SUMMARY = "live/room/"
    const val QUOTA_FENCE = "live/team/"

    /** How zones stand, as the leader has decided. */
    const val ZONE = "live/zone/"
    const val FINISHED_JOB = "over/"

    /** Records of what a fleet file switches on; a controller without one passes over them. */
    const val FLEET = "live/fleet/"

    /** Never written: a read of it tells the current revision at the price of one request. */
    const val REVISION_PROBE = "none"

    /** One page of a part's summary. */
    fun shardSummary(part: String, page: Int): String = "$SHARD_SUMMARY$part/$page"

    fun chunk(job: String, number: Int): String = if (number == 0) JOB + job else "$JOB_CHUNK$job/$number"
}
