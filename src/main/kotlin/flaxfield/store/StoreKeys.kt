package flaxfield.store

/** The state service's keys. All under [LIVE] are held in every node's view; finished jobs are not. */
object StoreKeys {
    const val LIVE = "live/"
    const val ASSIGNMENT = "live/assignment"
    const val LEADER = "live/leader"
    const val TYPES = "live/types"
    const val MEMBER = "live/member/"
    const val JOB = "live/job/"
    const val PART = "live/part/"
    const val HOST = "live/host/"
    const val HIRE = "live/hire/"
    const val ROOM = "live/room/"
    const val TEAM = "live/team/"

    /** How zones stand, as the leader has decided. */
    const val ZONE = "live/zone/"
    const val OVER = "over/"

    /** Records of what a fleet file switches on; a controller without one passes over them. */
    const val FLEET = "live/fleet/"

    /** Never written: a read of it tells the current revision at the price of one request. */
    const val NOTHING = "none"

    /** One page of a part's summary. */
    fun room(part: String, page: Int): String = "$ROOM$part/$page"

    fun chunk(job: String, number: Int): String = if (number == 0) JOB + job else "$PART$job/$number"
}
