package flaxfield.node

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.Reserved
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.StarvationTracker
import flaxfield.members.Member
import flaxfield.members.PartOwnership
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUse
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.Budget
import flaxfield.store.Cause
import flaxfield.store.ClusterView
import flaxfield.store.Outcome
import flaxfield.store.Share
import flaxfield.store.Sizes
import flaxfield.store.StoreClient
import flaxfield.store.Txn
import flaxfield.store.ViewFreshness
import flaxfield.zones.ZoneRecovery
import org.slf4j.LoggerFactory

/** Steady and daily time; tests set their own. */
interface Clock {
    fun steadyNs(): Long

    fun dayMs(): Long

    object System : Clock {
        override fun steadyNs(): Long = java.lang.System.nanoTime()

        override fun dayMs(): Long = java.lang.System.currentTimeMillis()
    }
}

/** What the slices of one process share; all of it belongs to the owner thread. */
class NodeContext(
    val settings: Settings,
    val operator: OperatorSettings,
    val me: Member,
    val clock: Clock,
    val store: StoreClient,
    val view: ClusterView,
    /** Hands work back to the owner thread; safe from any thread. */
    val post: (() -> Unit) -> Unit,
) {
    val budget = Budget(settings.stateLimits, settings.size)

    /** What runs beside the scheduler's own duties; null without a fleet file. */
    var subsystem: Subsystem? = null

    /** What is known of lost and returning zones; null where they are not watched. */
    var zones: ZoneRecovery? = null

    /** StoreKeys that a transaction of ours is changing: null while it is open, else the revision to wait for. */
    private val busy = HashMap<String, ULong?>()

    /** StoreKeys whose last value was too big to write, and until when they are left alone. */
    private val heldBack = HashMap<String, Long>()
    val counts = Counts()

    /** How old the view may be at most. */
    val knowledge = ViewFreshness()

    /** Machine types whose ordinary kind is left to jobs that can use no other. */
    val reserved = Reserved()

    private var reservedAt = -1L
    private var reservedNs = 0L

    fun noteReserved() {
        if (reservedAt == view.jobsVersion && nowNs < reservedNs) return
        reservedAt = view.jobsVersion
        reservedNs = nowNs + (settings.workers.reportS * NANOS_PER_SECOND).toLong()
        reserved.note(view.jobs.values, view.machineTypes.values, nowMs, RESERVED_MS)
        waits.note(view.jobs.values, nowMs)
    }

    /** Which jobs have waited with nothing on any machine. */
    private val waits = StarvationTracker()

    /** Whether a job has waited so long that nothing is kept from it for others any more. */
    fun waitedLong(job: Job): Boolean = waits.long(job, nowMs)

    /**
     * How many more tasks of [job] its team's limit allows beside [use]. Arrays leave a part of it to the team's gangs;
     * one that has waited long leaves it only to gangs that wait and came before it, and never more than all but one
     * task: with that it waits no more, so that gangs lose one place for each of them at most.
     */
    fun allows(job: Job, use: TeamUse): Int {
        val team = job.spec.owner
        val need = job.spec.need
        if (job.isGang) return use.allows(team, need)
        if (!waitedLong(job)) return use.allows(team, need, reserved.ofLimit(team))
        return maxOf(
            use.allows(team, need, reserved.ofWaiting(team, job.submittedMs)),
            minOf(1, use.allows(team, need)),
        )
    }

    /** When the state service last answered us with anything but an error. */
    var stateOkNs: Long = 0
        private set

    /** Our lease is surely valid until then by the steady clock. */
    var leaseUntilNs: Long = 0

    /** Something changed that decisions depend on. */
    var dirty = true

    /** A decision is due then though nothing changes. */
    var wakeNs = Long.MAX_VALUE
        private set

    fun wakeAt(ns: Long) {
        if (ns < wakeNs) wakeNs = ns
    }

    /** A decision begins: what it waits for it asks for again. */
    fun awake() {
        dirty = false
        wakeNs = Long.MAX_VALUE
    }

    val nowNs: Long get() = clock.steadyNs()
    val nowMs: Long get() = clock.dayMs()

    fun stateOk() {
        stateOkNs = nowNs
    }

    fun leaseValid(): Boolean = nowNs < leaseUntilNs

    /** The current term if this process is a member under it, else null. */
    fun term(): ULong? = view.assignment?.takeIf { it.has(me) }?.term

    /** Whether this process may decide now: a member whose lease is surely valid. */
    fun mayDecide(): Boolean = term() != null && leaseValid()

    fun leads(): Boolean = mayDecide() && view.assignment?.leader?.same(me) == true && view.leader?.same(me) == true

    private val parts = PartOwnership(view, me, settings.zones)

    /** The member whose part [host], which lies in [zone], belongs to. */
    fun owner(host: String, zone: String): String? = parts.owner(host, zone)

    /** Whether [host], which lies in [zone], belongs to this node's part. */
    fun owns(host: String, zone: String): Boolean = owner(host, zone) == me.name

    /** Whether [machine] belongs to this node's part. */
    fun owns(machine: Machine): Boolean = owns(machine.name, machine.zone)

    /** The machines of this node's part. */
    fun mine(): List<Machine> = parts.mine()

    /** What the teams use now; the caller may add to it. */
    fun use(): TeamUse = view.use(settings.teams)

    fun guaranteed(): Set<String> = view.guaranteed(settings.teams)

    /** [jobs] in the order in which they are served now, beside [use]. */
    fun inOrder(jobs: Collection<Job>, use: TeamUse): List<Job> {
        val late = JobOrder.lateMs(nowMs)
        val recovery = zones?.takeIf { it.isRecovering }
        return recovery?.sort(jobs, use, late) ?: JobOrder.sort(jobs, guaranteed(), use, late, ::aimed)
    }

    private val aimedClasses = settings.objectives.mapTo(HashSet()) { it.jobClass }

    /** Whether the operators say what is expected of jobs of this class. */
    fun aimed(jobClass: String): Boolean = jobClass in aimedClasses

    /** Takes the parts of the state service's limits that this node's duties give it now. */
    fun shareBudget() {
        val members = view.assignment?.members?.size ?: 0
        budget.share(Share.of(settings.size, members, mayDecide(), leads()))
    }

    fun isBusy(key: String): Boolean = busy.containsKey(key)

    /** Drops the marks that the view has caught up with. */
    fun caughtUp() {
        if (busy.isNotEmpty()) busy.values.removeIf { it != null && it <= view.revision }
    }

    /** Whether a transaction of [puts] changes for [cause] would be sent now: to be asked before it is built. */
    fun maySpend(cause: Cause, puts: Int): Boolean = budget.may(cause, puts, nowNs)

    /**
     * Sends a transaction if the budget has room for its cause; false if not. The changed keys are busy
     * until the view shows the outcome. [done] runs on the owner thread.
     */
    fun commit(cause: Cause, txn: Txn, done: (Outcome) -> Unit = {}): Boolean {
        if (!maySpend(cause, txn.changes.size)) return false
        if (heldBack.isNotEmpty() && txn.changes.any { (heldBack[it.key] ?: 0L) > nowNs }) return false
        val fault = Sizes.fault(txn, settings.stateLimits)
        if (fault != null) {
            // A defect: what is too big is split by whoever writes it. Tried each turn, it would only cost the turns.
            log.error("keys={} can't be written: {}", txn.changes.map { it.key }, fault)
            if (heldBack.size > HELD_BACK_KEPT) heldBack.clear()
            for (c in txn.changes) heldBack[c.key] = nowNs + (settings.workers.cancelS * NANOS_PER_SECOND).toLong()
            return false
        }
        if (!budget.take(cause, txn.changes.size, nowNs)) return false
        counts.written(cause, txn.changes.size)
        for (c in txn.changes) busy[c.key] = null
        store.txn(txn) { outcome ->
            post {
                settle(txn, outcome)
                done(outcome)
            }
        }
        return true
    }

    private fun settle(txn: Txn, outcome: Outcome) {
        val until = when (outcome) {
            is Outcome.Committed -> outcome.revision
            is Outcome.Conflict -> outcome.revision
            // Whatever comes of it, its conditions hold it to the versions we knew: deciding again is safe.
            else -> null
        }
        counts.outcome(outcome)
        if (until != null) stateOk()
        for (c in txn.changes) {
            if (until == null || until <= view.revision) busy.remove(c.key) else busy[c.key] = until
        }
        dirty = true
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /** As long as the fleet looks back on arrivals. */
        const val RESERVED_MS = 180_000L

        /** Keys held back are forgotten, all at once, at this many. */
        const val HELD_BACK_KEPT = 4_000
    }
}
