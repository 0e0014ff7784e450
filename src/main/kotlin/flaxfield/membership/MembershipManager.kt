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

/** Maintains this process's lease in the store and takes the steps of [MemberRules]. Confined to the owner thread. */
class MembershipManager(private val context: ControllerContext) {
    private val ttlMs = (context.settings.workers.leaseS * TTL_LEASE_SHARE * MILLIS_PER_SECOND).toLong()
    private var lease: ULong? = null
    private var isLeaseRequestInFlight = false
    private var nextRenewalNs = 0L
    private var isStepInFlight = false
    private var nextStepNs = 0L

    /** Whether this process is shutting down and requests no further lease. */
    private var isLeaving = false

    /**
     * Revokes the lease, which ends membership and leadership. Calls [done] once the store has responded, or
     * immediately if there is no lease.
     */
    fun leave(done: () -> Unit) {
        isLeaving = true
        context.leadership.leaseUntilNs = 0
        val currentLease = lease ?: return done()
        lease = null
        log.info("event=lease_revoked lease={}", currentLease)
        context.store.revokeLease(currentLease) { context.post(done) }
    }

    /** Renews the lease and takes the next membership step when they are due. */
    fun tick() {
        if (isLeaving) return
        val nowNs = context.nowNs
        if (!isLeaseRequestInFlight && nowNs >= nextRenewalNs) requestLease(nowNs)
        if (lease != null && context.leadership.leaseValid() && !isStepInFlight && nowNs >= nextStepNs) step(nowNs)
    }

    private fun requestLease(nowNs: Long) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, nowNs)) return
        isLeaseRequestInFlight = true
        nextRenewalNs = nowNs + ttlShareNs(RENEWAL_SHARE)
        val currentLease = lease
        if (currentLease == null) {
            context.store.grantLease(ttlMs) { result -> context.post { onGranted(nowNs, result) } }
        } else {
            context.store.renewLease(currentLease) { result -> context.post { onRenewed(nowNs, result) } }
        }
    }

    private fun onGranted(sentNs: Long, result: LeaseGrantResult) {
        isLeaseRequestInFlight = false
        if (isLeaving) return
        when (result) {
            is LeaseGrantResult.Granted -> {
                lease = result.lease
                extendValidity(sentNs)
                log.info("event=lease_granted lease={} ttl_ms={}", result.lease, ttlMs)
            }
            is LeaseGrantResult.Failed -> scheduleRetry()
        }
    }

    private fun onRenewed(sentNs: Long, result: LeaseRenewalResult) {
        isLeaseRequestInFlight = false
        if (isLeaving) return
        when (result) {
            LeaseRenewalResult.RENEWED -> extendValidity(sentNs)
            LeaseRenewalResult.EXPIRED -> {
                log.info("event=lease_expired lease={}", lease)
                lease = null
                context.leadership.leaseUntilNs = 0
                nextRenewalNs = 0
            }
            LeaseRenewalResult.FAILED -> scheduleRetry()
        }
    }

    /** Extends the lease from the time the request was sent, by its TTL minus the possible clock drift. */
    private fun extendValidity(sentNs: Long) {
        context.storeContact.noteResponse()
        context.leadership.leaseUntilNs = sentNs + (ttlMs * NANOS_PER_MILLI * (1 - MAX_CLOCK_DRIFT)).toLong()
        context.decisions.request()
    }

    private fun scheduleRetry() {
        nextRenewalNs = context.nowNs + ttlShareNs(RETRY_SHARE)
    }

    private fun step(nowNs: Long) {
        val currentLease = lease ?: return
        val view = context.view
        val step = MemberRules.nextStep(context.self, view.members.values, view.leader, view.assignment) ?: return
        val change = changeOf(step, currentLease)
        if (context.transactions.isWritePending(change.key)) return
        val transaction = Transaction(conditionsOf(step, change.key), listOf(change))
        isStepInFlight = context.transactions.submit(WriteCause.LEASE, transaction) { outcome ->
            isStepInFlight = false
            nextStepNs = context.nowNs + ttlShareNs(RETRY_SHARE) / STEP_INTERVALS_PER_RETRY
            log.info("event=member_step step={} outcome={}", step, outcome)
        }
        if (!isStepInFlight) nextStepNs = nowNs + ttlShareNs(RETRY_SHARE)
    }

    /** Member and leader keys are deleted when the lease expires; the assignment remains for the next leader. */
    private fun changeOf(step: MemberStep, lease: ULong): Change = when (step) {
        is MemberStep.Join ->
            Change.Put(StoreKeys.MEMBER + context.self.name, MemberCodec.encode(context.self), lease)
        is MemberStep.Lead -> Change.Put(StoreKeys.LEADER, MemberCodec.encode(context.self), lease)
        is MemberStep.Assign -> Change.Put(StoreKeys.ASSIGNMENT, MemberCodec.encode(context.self, step.members))
    }

    private fun conditionsOf(step: MemberStep, key: String): Map<String, ULong> {
        val conditions = HashMap<String, ULong>()
        conditions[key] = context.view.version(key)
        // The write must fail if this process no longer leads, so it is conditional on the leader key as well.
        if (step is MemberStep.Assign) conditions[StoreKeys.LEADER] = context.view.version(StoreKeys.LEADER)
        return conditions
    }

    private fun ttlShareNs(share: Double): Long = (ttlMs * share * NANOS_PER_MILLI).toLong()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.membership")

        /** The TTL as a share of a worker's lease: two failovers fit into one worker lease. */
        const val TTL_LEASE_SHARE = 0.3

        /** The renewal interval as a share of the TTL: two renewals may be lost before the lease expires. */
        const val RENEWAL_SHARE = 0.28

        /** The retry delay after a failed request or a refused step, as a share of the TTL. */
        const val RETRY_SHARE = 0.08

        /** The delay between consecutive steps is the retry delay divided by this. */
        const val STEP_INTERVALS_PER_RETRY = 5

        /** Monotonic clocks drift by up to 0.05% (PROTOCOL-flaxfield.md); doubled for the state service's clock. */
        const val MAX_CLOCK_DRIFT = 0.001
    }
}
