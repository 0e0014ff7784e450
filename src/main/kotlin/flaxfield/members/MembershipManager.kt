package flaxfield.members

import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** Keeps this process's lease and carries out [MemberRules]. */
class MembershipManager(private val hub: NodeContext) {
    private var lease: ULong? = null
    private var asking = false
    private var nextRenewNs = 0L
    private var stepOpen = false
    private var nextStepNs = 0L

    private val ttlMs = (hub.settings.workers.leaseS * TTL_SHARE * MS).toLong()

    fun tick() {
        val now = hub.nowNs
        if (!asking && now >= nextRenewNs) renew(now)
        if (lease != null && hub.leaseValid() && !stepOpen && now >= nextStepNs) step(now)
    }

    private fun renew(now: Long) {
        if (!hub.budget.take(Cause.LEASE, 0, now)) return
        asking = true
        nextRenewNs = now + (ttlMs * RENEW_SHARE * NS_PER_MS).toLong()
        val held = lease
        if (held == null) {
            hub.store.lease(ttlMs) { got -> hub.post { granted(now, got) } }
        } else {
            hub.store.extend(held) { status -> hub.post { extended(now, status) } }
        }
    }

    private fun granted(sentNs: Long, got: ULong?) {
        asking = false
        if (got == null) {
            retrySoon()
            return
        }
        lease = got
        valid(sentNs)
        log.info("lease={} ttl_ms={} granted", got, ttlMs)
    }

    private fun extended(sentNs: Long, status: Int) {
        asking = false
        when (status) {
            OK -> valid(sentNs)
            NOT_FOUND -> {
                log.info("lease={} has ended", lease)
                lease = null
                hub.leaseUntilNs = 0
                nextRenewNs = 0
            }
            else -> retrySoon()
        }
    }

    /** Counted from when we asked, and shortened by what steady clocks may drift apart. */
    private fun valid(sentNs: Long) {
        hub.stateOk()
        hub.leaseUntilNs = sentNs + (ttlMs * NS_PER_MS * (1 - DRIFT)).toLong()
        hub.dirty = true
    }

    private fun retrySoon() {
        nextRenewNs = hub.nowNs + (ttlMs * RETRY_SHARE * NS_PER_MS).toLong()
    }

    private fun step(now: Long) {
        val w = hub.world
        val held = lease ?: return
        val step = MemberRules.next(hub.me, w.members.values, w.leader, w.assignment) ?: return
        val (key, change) = when (step) {
            is MemberStep.Join -> {
                val key = StoreKeys.MEMBER + hub.me.name
                key to Change.Put(key, MemberCodec.encode(hub.me), held)
            }
            is MemberStep.Lead -> StoreKeys.LEADER to Change.Put(StoreKeys.LEADER, MemberCodec.encode(hub.me), held)
            is MemberStep.Assign -> StoreKeys.ASSIGNMENT to Change.Put(StoreKeys.ASSIGNMENT, MemberCodec.encode(hub.me, step.members))
        }
        if (hub.isBusy(key)) return
        val conditions = HashMap<String, ULong>()
        conditions[key] = w.stamp(key)
        // An assignment stands only while its writer leads: the leader's key is part of the condition.
        if (step is MemberStep.Assign) conditions[StoreKeys.LEADER] = w.stamp(StoreKeys.LEADER)
        stepOpen = hub.commit(Cause.LEASE, Txn(conditions, listOf(change))) { outcome ->
            stepOpen = false
            nextStepNs = hub.nowNs + (ttlMs * RETRY_SHARE * NS_PER_MS).toLong() / STEP_PACE
            log.info("member step={} outcome={}", step, outcome)
        }
        if (!stepOpen) nextStepNs = now + (ttlMs * RETRY_SHARE * NS_PER_MS).toLong()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.members")

        /** A member is given up after this share of a worker's lease: two takeovers fit into one lease. */
        const val TTL_SHARE = 0.3

        /** Two renewals may be lost before a lease ends. */
        const val RENEW_SHARE = 0.28
        const val RETRY_SHARE = 0.08
        const val STEP_PACE = 5

        /** PROTOCOL-flaxfield.md: steady clocks drift apart by up to 0.05%; doubled for the service's side. */
        const val DRIFT = 0.001
        const val MS = 1000.0
        const val NS_PER_MS = 1_000_000.0
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
