package flaxfield.store

/** The shares of the store's two rate limits that one controller may use. */
data class RateShare(val requests: Double, val writes: Double) {
    companion object {
        /** Kept for each controller that is no member now: it reads the view and renews its lease. */
        private const val OUTSIDE_SHARE = 0.08

        /** The leader writes gangs, reservations and the fleet besides its own shard: it counts as two. */
        private const val LEADER_WEIGHT = 2

        /**
         * The share of one of [size] controllers, of which [members] are members. Pure.
         *
         * A controller counts by the assignment it acts under, and only while its own lease is surely valid: a member
         * that is given up has fallen back to the outside share before the others' shares grow, so that the sum stays
         * within the limits during a failover, too.
         */
        fun of(size: Int, members: Int, isMember: Boolean, isLeader: Boolean): RateShare {
            if (!isMember || members <= 0) return RateShare(OUTSIDE_SHARE, OUTSIDE_SHARE)
            val ofMembers = 1.0 - OUTSIDE_SHARE * (size - members).coerceAtLeast(0)
            val totalWeight = members - 1 + LEADER_WEIGHT
            val weight = if (isLeader) LEADER_WEIGHT else 1
            return RateShare(ofMembers / members, ofMembers * weight / totalWeight)
        }
    }
}
