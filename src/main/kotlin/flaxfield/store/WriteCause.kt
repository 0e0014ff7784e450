package flaxfield.store

/**
 * The purpose of a request to the store, from the most to the least important. The names are label values of the metric
 * `flaxfield_changes`.
 */
enum class WriteCause(
    /**
     * The share of a second of tokens that must remain for more important causes after the request. A negative value is
     * the debt that the request may leave.
     */
    val reserve: Double,
    /** Whether its changes have a separate bucket, so that the fleet and the shard summaries never starve. */
    val isMaintenance: Boolean = false,
) {
    /** Membership, leadership and the view. */
    LEASE(-1.0),

    /** Cancellations by users. */
    CANCEL(-0.9),

    /** Ends of tasks and jobs. */
    FINISH(0.0),

    /** Placements of gangs: few changes, which would otherwise wait for minutes behind the ends of many small jobs. */
    GANG(-0.1),

    /** Submissions. A user waits and each needs one change only, so they may go further into debt than gangs. */
    SUBMIT(-0.6),

    /** Scaling out and in. */
    FLEET(0.15, isMaintenance = true),

    /** Placements of arrays. */
    ARRAY(0.2),

    /** Shard summaries. */
    ROOM(0.25, isMaintenance = true),

    /** Ends of an array's tasks, which may be batched into one write. */
    PROOF(0.25),

    /** Reads for users. */
    READ(0.3),

    /** Ends of small jobs of idle priority: two changes for one task, the lowest value per change. */
    CLOSE(0.3),

    /** Placements and ends of only a few tasks. While writes are scarce, they wait to be batched. */
    TRICKLE(0.35),
}
