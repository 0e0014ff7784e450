package flaxfield.store

/** What a request is for, from the most to the least important. The names are labels of `flaxfield_changes`. */
enum class WriteCause(
    /**
     * The share of the bucket that must remain after the request, kept for more important causes; a negative one is the
     * debt that the request may leave.
     */
    val reserve: Double,
    /** Whether changes for it have a bucket of their own: the fleet and the shard summaries must never starve. */
    val upkeep: Boolean = false,
) {
    /** Membership, leadership and the view. */
    LEASE(-1.0),

    /** Users' cancellations. */
    CANCEL(-0.9),

    /** Ends of tasks and jobs. */
    FINISH(0.0),

    /** Placements of gangs: few changes, which would wait for minutes behind the ends of many small jobs. */
    GANG(-0.1),

    /** Submissions: a user waits, and each costs one change, so that they may borrow more than gangs. */
    SUBMIT(-0.6),

    /** Scaling out and in. */
    FLEET(0.15, upkeep = true),

    /** Placements of arrays. */
    ARRAY(0.2),

    /** Shard summaries. */
    ROOM(0.25, upkeep = true),

    /** Ends of an array's tasks: they may gather, so that one write tells several. */
    PROOF(0.25),

    /** Reads for users. */
    READ(0.3),

    /** Ends of small idle jobs: two changes for one task, the least that a change is worth. */
    CLOSE(0.3),

    /** Placements and ends of a few tasks only: while changes are scarce they wait until they are more. */
    TRICKLE(0.35),
}
