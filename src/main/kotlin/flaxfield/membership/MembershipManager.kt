package flaxfield.membership

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_MILLI
import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Keeps this process's lease and carries out [MemberRules]. */
class MembershipManager(private val context: ControllerContext) {
    private var lease: ULong? = null
    private var asking = false
    private var nextRenewNs = 0L
    private var stepOpen = false
    private var nextStepNs = 0L

    private val ttlMs = (context.settings.workers.leaseS * TTL_SHARE * MILLIS_PER_SECOND).toLong()

    /** This process is about to end: it asks for no lease any more. */
    private var leaving = false

    /**
     * Ends the lease and with it membership and leadership; [done] once the state service has answered, or at once
     * without one.
     */
    fun leave(done: () -> Unit) {
        leaving = true
        context.leadership.leaseUntilNs = 0
        val held = lease ?: return done()
        lease = null
        log.info("lease={} given back", held)
        context.store.release(held) { context.post(done) }
    }

    fun tick() {
        if (leaving) return
        val now = context.nowNs
        if (!asking && now >= nextRenewNs) renew(now)
        if (lease != null && context.leadership.leaseValid() && !stepOpen && now >= nextStepNs) step(now)
    }

    private fun renew(now: Long) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, now)) return
        asking = true
        nextRenewNs = now + (ttlMs * RENEW_SHARE * NANOS_PER_MILLI).toLong()
        val held = lease
        if (held == null) {
            context.store.lease(ttlMs) { got -> context.post { granted(now, got) } }
        } else {
            context.store.extend(held) { status -> context.post { extended(now, status) } }
        }
    }

    private fun granted(sentNs: Long, got: ULong?) {
        asking = false
        if (leaving) return
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
        if (leaving) return
        when (status) {
            OK -> valid(sentNs)
            NOT_FOUND -> {
                log.info("lease={} has ended", lease)
                lease = null
                context.leadership.leaseUntilNs = 0
                nextRenewNs = 0
            }
            else -> retrySoon()
        }
    }

    /** Counted from when we asked, and shortened by what steady clocks may drift apart. */
    private fun valid(sentNs: Long) {
        context.storeContact.noteResponse()
        context.leadership.leaseUntilNs = sentNs + (ttlMs * NANOS_PER_MILLI * (1 - DRIFT)).toLong()
        context.decisions.request()
    }

    private fun retrySoon() {
        nextRenewNs = context.nowNs + (ttlMs * RETRY_SHARE * NANOS_PER_MILLI).toLong()
    }

    private fun step(now: Long) {
        val w = context.view
        val held = lease ?: return
        val step = MemberRules.next(context.self, w.members.values, w.leader, w.assignment) ?: return
        val (key, change) = when (step) {
            is MemberStep.Join -> {
                val key = StoreKeys.MEMBER + context.self.name
                key to Change.Put(key, MemberCodec.encode(context.self), held)
            }
            is MemberStep.Lead ->
                StoreKeys.LEADER to
                    Change.Put(StoreKeys.LEADER, MemberCodec.encode(context.self), held)
            is MemberStep.Assign ->
                StoreKeys.ASSIGNMENT to
                    Change.Put(StoreKeys.ASSIGNMENT, MemberCodec.encode(context.self, step.members))
        }
        if (context.transactions.isWritePending(key)) return
        val conditions = HashMap<String, ULong>()
        conditions[key] = w.version(key)
        // An assignment stands only while its writer leads: the leader's key is part of the condition.
        if (step is MemberStep.Assign) conditions[StoreKeys.LEADER] = w.version(StoreKeys.LEADER)
        stepOpen = context.transactions.submit(WriteCause.LEASE, Transaction(conditions, listOf(change))) { outcome ->
            stepOpen = false
            nextStepNs = context.nowNs + (ttlMs * RETRY_SHARE * NANOS_PER_MILLI).toLong() / STEP_PACE
            log.info("member step={} outcome={}", step, outcome)
        }
        if (!stepOpen) nextStepNs = now + (ttlMs * RETRY_SHARE * NANOS_PER_MILLI).toLong()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.membership")

        /** A member is given up after this share of a worker's lease: two takeovers fit into one lease. */
        const val TTL_SHARE = 0.3

        /** Two renewals may be lost before a lease ends. */
        const val RENEW_SHARE = 0.28
        const val RETRY_SHARE = 0.08
        const val STEP_PACE = 5

        /** PROTOCOL-flaxfield.md: steady clocks drift apart by up to 0.05%; doubled for the service's side. */
        const val DRIFT = 0.001
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
