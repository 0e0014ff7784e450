package flaxfield.store

/** The shares of the store's request and write limits that one controller may use. */
data class RateShare(val requests: Double, val writes: Double) {
    companion object {
        /** The share of each controller that is not a member: it only updates its view and renews its lease. */
        private const val NON_MEMBER_SHARE = 0.08

        /**
         * The leader's weight against 1 for other members: besides its own shard it writes gangs, reservations and the
         * fleet.
         */
        private const val LEADER_WEIGHT = 2

        /**
         * Returns the share of one of [size] controllers, of which [members] are members. Pure.
         *
         * A controller is a member by the assignment it acts under, and only while its own lease is guaranteed to be
         * valid. A removed member thus falls back to the non-member share before the shares of the others grow, so
         * that the sum stays within the limits during a failover.
         */
        fun of(size: Int, members: Int, isMember: Boolean, isLeader: Boolean): RateShare {
            if (!isMember || members <= 0) return RateShare(NON_MEMBER_SHARE, NON_MEMBER_SHARE)
            val membersShare = 1.0 - NON_MEMBER_SHARE * (size - members).coerceAtLeast(0)
            val totalWeight = members - 1 + LEADER_WEIGHT
            val weight = if (isLeader) LEADER_WEIGHT else 1
            return RateShare(membersShare / members, membersShare * weight / totalWeight)
        }
    }
}
