package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Scales out: sends each stored rental to the cloud, and stores the machines that the cloud grants. A rental is stored
 * before it is sent, so that a new leader repeats it under the same name. Confined to the owner thread; only the leader
 * uses it.
 */
class ScaleOutReconciler(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
) {
    private val refusedOffers = RefusedOffers(context.settings.listLagS)
    private var requestCount = 0

    /** When each rental may be sent again, by its name; [Long.MAX_VALUE] while its request is in flight. */
    private val nextRequestNs = HashMap<String, Long>()

    /** The granted machines by the name of the rental, until they are stored; empty for a refused rental. */
    private val grantedMachines = HashMap<String, List<String>>()

    /** Discards the state of the requests; called when this process is no longer the leader. */
    fun reset() {
        nextRequestNs.clear()
        grantedMachines.clear()
    }

    /** Returns how many machines of [rental] have no record yet. */
    fun pendingMachines(rental: Rental): Int =
        grantedMachines[rental.name]?.count { it !in context.view.machines } ?: rental.count

    /** Whether the cloud has refused [offer] so recently that its backoff has not expired. */
    fun isRefused(offer: Offer): Boolean = refusedOffers.isRefused(offer, context.nowNs)

    /** Whether the cloud has refused [offer] less than [seconds] ago, and has not granted it in full since then. */
    fun isRefusedWithin(offer: Offer, seconds: Double): Boolean =
        refusedOffers.isRefusedWithin(offer, seconds, context.nowNs)

    /** Sends each stored rental until its outcome is known, and stores the granted machines. */
    fun run() {
        val rentals = context.view.rentals
        nextRequestNs.keys.retainAll(rentals.keys)
        grantedMachines.keys.retainAll(rentals.keys)
        for (rental in rentals.values.toList()) {
            if (context.transactions.isWritePending(StoreKeys.RENTAL + rental.name)) continue
            if (rental.name in grantedMachines) {
                storeMachines(rental)
                continue
            }
            if (context.nowNs < (nextRequestNs[rental.name] ?: 0L)) continue
            if (!rateLimiter.tryAcquire(context.nowNs)) return
            nextRequestNs[rental.name] = Long.MAX_VALUE
            cloud.rent(rental) { response -> context.post { onResponse(rental, response) } }
        }
    }

    private fun onResponse(rental: Rental, response: RentalResponse) {
        log.info(
            "event=rental_answered rental={} machine_type={} zone={} preemptible={} count={} outcome={}",
            rental.name,
            rental.machineType,
            rental.zone,
            rental.preemptible,
            rental.count,
            response,
        )
        val retryNs = (context.settings.workers.heartbeatIntervalS * RETRY_HEARTBEATS * NANOS_PER_SECOND).toLong()
        nextRequestNs[rental.name] = context.nowNs + retryNs
        val machines = when (response) {
            is RentalResponse.Unknown -> return
            is RentalResponse.NoCapacity, is RentalResponse.Rejected -> emptyList()
            is RentalResponse.Granted -> response.names
        }
        if (response !is RentalResponse.Granted || machines.size < rental.count) {
            refusedOffers.add(rental.offer, context.nowNs)
        } else {
            refusedOffers.remove(rental.offer)
        }
        // The outcome is known, so the request is not repeated while its machines are being stored.
        grantedMachines[rental.name] = machines
        if (context.leadership.isLeader()) context.view.rentals[rental.name]?.let(::storeMachines)
    }

    /**
     * Stores the granted machines of [rental], as many as fit into one transaction. The rental is deleted in the same
     * transaction as the last of them, so that every machine is covered by one of the two records at any time.
     */
    private fun storeMachines(rental: Rental) {
        val machineNames = grantedMachines[rental.name].orEmpty()
        if (machineNames.any { context.transactions.isWritePending(StoreKeys.MACHINE + it) }) return
        val missing = machineNames.filter { it !in context.view.machines }
        val batchSize = context.transactions.budget.maxBulkChanges(context.settings.stateLimits.txnOps - 1)
        val batch = missing.take(batchSize)
        val puts = batch.map {
            Change.Put(StoreKeys.MACHINE + it, FleetCodec.encode(newMachine(it, rental)))
        }
        val isComplete = missing.size <= batchSize
        val deletion = if (isComplete) listOf(Change.Delete(StoreKeys.RENTAL + rental.name)) else emptyList()
        val conditions =
            JobTransactions.assignmentFence(context) + (StoreKeys.RENTAL + rental.name to rental.version) +
                batch.associate { StoreKeys.MACHINE + it to 0uL }
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, puts + deletion))
    }

    private fun newMachine(name: String, rental: Rental) = Machine(
        name,
        rental.machineType,
        rental.zone,
        rental.preemptible,
        MachinePhase.UP,
        context.nowMs,
        reservation = null,
        version = 0uL,
    )

    /** Stores a rental of [count] machines of [offer]; does nothing if the write budget is exhausted. */
    fun request(offer: Offer, count: Int) {
        val rental = Rental(
            "${context.self.name}-${context.self.incarnation}-${++requestCount}",
            offer.machineType,
            offer.zone,
            offer.preemptible,
            count,
            context.nowMs,
            0uL,
        )
        val key = StoreKeys.RENTAL + rental.name
        val conditions = JobTransactions.assignmentFence(context) + (key to 0uL)
        val transaction = Transaction(conditions, listOf(Change.Put(key, FleetCodec.encode(rental))))
        if (!context.transactions.submit(WriteCause.FLEET, transaction)) return
        log.info(
            "event=rental_requested term={} rental={} machine_type={} zone={} preemptible={} count={}",
            context.leadership.term(),
            rental.name,
            rental.machineType,
            rental.zone,
            rental.preemptible,
            count,
        )
    }

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** A request whose outcome is unknown is repeated after this share of a heartbeat interval. */
        private const val RETRY_HEARTBEATS = 0.5

        /** PROTOCOL-flaxfield.md: the maximum number of machines in one rental. */
        const val MAX_PER_RENTAL = 50
    }
}
