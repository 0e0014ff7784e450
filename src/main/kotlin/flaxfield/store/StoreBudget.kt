package flaxfield.store

import flaxfield.NANOS_PER_SECOND
import flaxfield.settings.StateLimits

/** What a request is for, from the most to the least important. */
enum class WriteCause(
    /** The share of the bucket that must remain after the request: it is kept for those above. */
    val reserve: Double,
    /** Whether it has a part of the changes to itself: what keeps the fleet and its picture must never starve. */
    val upkeep: Boolean = false,
) {
    LEASE(-1.0),
    CANCEL(-0.9),
    FINISH(0.0),

    /** Few changes, for what is most urgent: behind the ends of a swarm's jobs, gangs waited for minutes. */
    GANG(-0.1),

    /** Users wait for it, and each costs one change: it may go into the next moment's part, further than gangs. */
    SUBMIT(-0.6),
    FLEET(0.15, upkeep = true),
    ARRAY(0.2),
    ROOM(0.25, upkeep = true),

    /** Ends of an array's tasks: they may gather, so that one write tells several. */
    PROOF(0.25),
    READ(0.3),

    /** Ends of small idle jobs: two changes for one task, the least that a change is worth. */
    CLOSE(0.3),

    /** Placements and ends of a few tasks only: when changes are scarce they wait until they are more. */
    TRICKLE(0.35),
}

/**
 * This node's share of the state service's two limits, as token buckets. Going into debt is allowed to
 * the most important causes only, so a burst of submissions never costs a lease.
 */
class StoreBudget(limits: StateLimits, nodes: Int) {
    private class Bucket(private val whole: Double, nodes: Int, private val holdsS: Double = 1.0) {
        var rate = whole / nodes
            private set

        /** The service allows one second's worth; we hold as much of our own share. */
        var tokens = rate
        var at = 0L

        fun refill(nowNs: Long) {
            if (at == 0L) at = nowNs
            tokens = minOf(rate * holdsS, tokens + rate * (nowNs - at) / NANOS_PER_SECOND)
            at = nowNs
        }

        fun share(part: Double) {
            rate = whole * part
            tokens = minOf(tokens, rate * holdsS)
        }

        fun allows(cost: Int, reserve: Double) = tokens - cost >= reserve * rate

        fun take(cost: Int) {
            tokens -= cost
        }
    }

    private val requests = Bucket(limits.rps * SAFE_SHARE, nodes)
    private val writes = Bucket(limits.writeRps * SAFE_SHARE * (1 - UPKEEP), nodes)
    private val upkeep = Bucket(limits.writeRps * SAFE_SHARE * UPKEEP, nodes, UPKEEP_S)

    /** Whether changes are plenty now: nothing needs to gather to spare them. */
    fun ample(nowNs: Long): Boolean {
        writes.refill(nowNs)
        return writes.tokens >= writes.rate * AMPLE
    }

    /** How many changes one bulk write may have: more at once would keep everything else waiting for seconds. */
    fun bulk(most: Int): Int = minOf(most, (writes.rate * BULK_S).toInt().coerceAtLeast(MIN_BULK))

    /** From here on the node holds itself to these parts of the two limits. */
    fun share(s: RateShare) {
        requests.share(s.requests)
        writes.share(s.writes)
        upkeep.share(s.writes)
    }

    /**
     * Whether [take] would grant this now. Asked before a transaction is built: while changes were scarce, the
     * same placements were built and refused at every turn, the most that a part spent its time on.
     */
    fun may(cause: WriteCause, puts: Int, nowNs: Long): Boolean = source(cause, puts, nowNs) != null

    /** Takes one request with [puts] changes if its cause may have it now. */
    fun take(cause: WriteCause, puts: Int, nowNs: Long): Boolean {
        val from = source(cause, puts, nowNs) ?: return false
        requests.take(1)
        from.take(puts)
        return true
    }

    /** Where the changes would be taken from; null if they may not be had now. */
    private fun source(cause: WriteCause, puts: Int, nowNs: Long): Bucket? {
        requests.refill(nowNs)
        writes.refill(nowNs)
        upkeep.refill(nowNs)
        if (!requests.allows(1, cause.reserve)) return null
        // Even an empty bucket lets a full-sized transaction through in time: it may overdraw once.
        val cost = minOf(puts, maxOf(1, (writes.rate * (1 - cause.reserve.coerceAtLeast(0.0))).toInt()))
        return when {
            puts == 0 -> writes
            // Only what both hold together is too much at once: each may spend what the other does not need.
            cause.upkeep && upkeep.tokens >= minOf(puts, MAX_OVERDRAWN) -> upkeep
            writes.allows(cost, cause.reserve) -> writes
            !cause.upkeep && upkeep.tokens >= upkeep.rate * UPKEEP_S * SPARE_SHARE + puts -> upkeep
            else -> null
        }
    }

    private companion object {
        /** A little stays unused: our clock and the service's do not tick together. */
        const val SAFE_SHARE = 0.95

        /** The part of all changes that is the fleet's and the summaries'. */
        const val UPKEEP = 0.25

        /** It may be saved up for so long, since its writes come in bulk. */
        const val UPKEEP_S = 2.0

        /** Above this share of what it holds, others may use it. */
        const val SPARE_SHARE = 0.6

        /** A bulk write goes when so many of its changes are there: the bucket is in debt for a moment. */
        const val MAX_OVERDRAWN = 4
        const val BULK_S = 0.7
        const val AMPLE = 0.7
        const val MIN_BULK = 4
    }
}

/** The parts of the state service's two limits that one node may use. */
data class RateShare(val requests: Double, val writes: Double) {
    companion object {
        /** Kept for each node that is no member now: it reads the view and renews its lease. */
        private const val OUTSIDE = 0.08

        /** The leader writes gangs, claims and the fleet besides its own part: it counts as two. */
        private const val LEADER_COUNTS = 2

        /**
         * Pure. A node counts by the assignment it acts under, and only while its own lease is surely valid: a
         * member that is given up has fallen back to [OUTSIDE] before the others' parts grow, so that the sum
         * stays within the limits also during a takeover.
         */
        fun of(size: Int, members: Int, member: Boolean, isLeader: Boolean): RateShare {
            if (!member || members <= 0) return RateShare(OUTSIDE, OUTSIDE)
            val pool = 1.0 - OUTSIDE * (size - members).coerceAtLeast(0)
            val heads = members - 1 + LEADER_COUNTS
            return RateShare(pool / members, pool * (if (isLeader) LEADER_COUNTS else 1) / heads)
        }
    }
}
