package flaxfield.membership

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_MILLI
import flaxfield.controller.ControllerContext
import flaxfield.store.Change
import flaxfield.store.LeaseGrantResult
import flaxfield.store.LeaseRenewalResult
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Keeps this process's lease in the store and carries out [MemberRules]. Owned by the owner thread. */
class MembershipManager(private val context: ControllerContext) {
    private val ttlMs = (context.settings.workers.leaseS * TTL_LEASE_SHARE * MILLIS_PER_SECOND).toLong()
    private var lease: ULong? = null
    private var isLeaseRequestOpen = false
    private var nextRenewalNs = 0L
    private var isStepOpen = false
    private var nextStepNs = 0L

    /** This process is about to end: it asks for no lease any more. */
    private var isLeaving = false

    /**
     * Ends the lease and with it membership and leadership; [done] once the store has answered, or at once without a
     * lease.
     */
    fun leave(done: () -> Unit) {
        isLeaving = true
        context.leadership.leaseUntilNs = 0
        val held = lease ?: return done()
        lease = null
        log.info("event=lease_revoked lease={}", held)
        context.store.revokeLease(held) { context.post(done) }
    }

    /** Renews the lease and takes the next step of membership where that is due. */
    fun tick() {
        if (isLeaving) return
        val nowNs = context.nowNs
        if (!isLeaseRequestOpen && nowNs >= nextRenewalNs) requestLease(nowNs)
        if (lease != null && context.leadership.leaseValid() && !isStepOpen && nowNs >= nextStepNs) step(nowNs)
    }

    private fun requestLease(nowNs: Long) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, nowNs)) return
        isLeaseRequestOpen = true
        nextRenewalNs = nowNs + ttlShareNs(RENEWAL_SHARE)
        val held = lease
        if (held == null) {
            context.store.grantLease(ttlMs) { result -> context.post { onGranted(nowNs, result) } }
        } else {
            context.store.renewLease(held) { result -> context.post { onRenewed(nowNs, result) } }
        }
    }

    private fun onGranted(sentNs: Long, result: LeaseGrantResult) {
        isLeaseRequestOpen = false
        if (isLeaving) return
        when (result) {
            is LeaseGrantResult.Granted -> {
                lease = result.lease
                extendValidity(sentNs)
                log.info("event=lease_granted lease={} ttl_ms={}", result.lease, ttlMs)
            }
            is LeaseGrantResult.Failed -> retrySoon()
        }
    }

    private fun onRenewed(sentNs: Long, result: LeaseRenewalResult) {
        isLeaseRequestOpen = false
        if (isLeaving) return
        when (result) {
            LeaseRenewalResult.RENEWED -> extendValidity(sentNs)
            LeaseRenewalResult.EXPIRED -> {
                log.info("event=lease_expired lease={}", lease)
                lease = null
                context.leadership.leaseUntilNs = 0
                nextRenewalNs = 0
            }
            LeaseRenewalResult.FAILED -> retrySoon()
        }
    }

    /** The lease is valid from when the request was sent, for its time less what the two clocks may drift apart. */
    private fun extendValidity(sentNs: Long) {
        context.storeContact.noteResponse()
        context.leadership.leaseUntilNs = sentNs + (ttlMs * NANOS_PER_MILLI * (1 - MAX_CLOCK_DRIFT)).toLong()
        context.decisions.request()
    }

    private fun retrySoon() {
        nextRenewalNs = context.nowNs + ttlShareNs(RETRY_SHARE)
    }

    private fun step(nowNs: Long) {
        val held = lease ?: return
        val view = context.view
        val step = MemberRules.next(context.self, view.members.values, view.leader, view.assignment) ?: return
        val change = changeOf(step, held)
        if (context.transactions.isWritePending(change.key)) return
        val transaction = Transaction(conditionsOf(step, change.key), listOf(change))
        isStepOpen = context.transactions.submit(WriteCause.LEASE, transaction) { outcome ->
            isStepOpen = false
            nextStepNs = context.nowNs + ttlShareNs(RETRY_SHARE) / STEPS_PER_RETRY
            log.info("event=member_step step={} outcome={}", step, outcome)
        }
        if (!isStepOpen) nextStepNs = nowNs + ttlShareNs(RETRY_SHARE)
    }

    /** Member and leader keys go with the lease; the assignment stays for whoever leads next. */
    private fun changeOf(step: MemberStep, lease: ULong): Change = when (step) {
        is MemberStep.Join ->
            Change.Put(StoreKeys.MEMBER + context.self.name, MemberCodec.encode(context.self), lease)
        is MemberStep.Lead -> Change.Put(StoreKeys.LEADER, MemberCodec.encode(context.self), lease)
        is MemberStep.Assign -> Change.Put(StoreKeys.ASSIGNMENT, MemberCodec.encode(context.self, step.members))
    }

    private fun conditionsOf(step: MemberStep, key: String): Map<String, ULong> {
        val conditions = HashMap<String, ULong>()
        conditions[key] = context.view.version(key)
        // An assignment stands only while its writer leads: the leader's key is part of the condition.
        if (step is MemberStep.Assign) conditions[StoreKeys.LEADER] = context.view.version(StoreKeys.LEADER)
        return conditions
    }

    private fun ttlShareNs(share: Double): Long = (ttlMs * share * NANOS_PER_MILLI).toLong()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.membership")

        /** A member is given up after this share of a worker's lease: two failovers fit into one lease. */
        const val TTL_LEASE_SHARE = 0.3

        /** Two renewals may be lost before a lease ends. */
        const val RENEWAL_SHARE = 0.28

        /** A failed request or a refused step waits this share of the lease's time. */
        const val RETRY_SHARE = 0.08

        /** Steps that follow each other wait this part of the time between retries. */
        const val STEPS_PER_RETRY = 5

        /** PROTOCOL-flaxfield.md: steady clocks drift apart by up to 0.05%; doubled for the service's side. */
        const val MAX_CLOCK_DRIFT = 0.001
    }
}
