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
 * Scale out: takes each rental from its stored request over the cloud's answer to the records of its machines. A
 * request is stored before it is sent, so that a new leader repeats it under the same name. Owned by the owner thread;
 * only the leader uses it.
 */
class ScaleOutReconciler(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
) {
    private val refusedOffers = RefusedOffers(context.settings.listLagS)
    private var requestCount = 0

    /** When each rental may be sent again, by its name; [Long.MAX_VALUE] while an answer is awaited. */
    private val nextRequestNs = HashMap<String, Long>()

    /** The machines of each answered rental, until they are stored. */
    private val answered = HashMap<String, List<String>>()

    /** Drops the state of the requests; called when this process is no longer leader. */
    fun reset() {
        nextRequestNs.clear()
        answered.clear()
    }

    /** How many machines of [rental] have no record yet. */
    fun pendingMachines(rental: Rental): Int =
        answered[rental.name]?.count { it !in context.view.machines } ?: rental.count

    /** Whether the cloud has refused [offer] so recently that it is not requested again. */
    fun isRefused(offer: Offer): Boolean = refusedOffers.isRefused(offer, context.nowNs)

    /** Sends each stored rental until it has a clear answer, and stores the machines of the answered ones. */
    fun run() {
        val rentals = context.view.rentals
        nextRequestNs.keys.retainAll(rentals.keys)
        answered.keys.retainAll(rentals.keys)
        for (rental in rentals.values.toList()) {
            if (context.transactions.isWritePending(StoreKeys.RENTAL + rental.name)) continue
            if (rental.name in answered) {
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
            "event=rental_answered rental={} machine_type={} zone={} preemptible={} count={} result={}",
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
        // With a clear answer the request is not repeated while its machines are being stored.
        answered[rental.name] = machines
        if (context.leadership.isLeader()) context.view.rentals[rental.name]?.let(::storeMachines)
    }

    /**
     * Stores the machines of an answered rental, as many as one transaction takes. The rental is deleted with the last
     * of them, so that no machine is ever in neither record.
     */
    private fun storeMachines(rental: Rental) {
        val machineNames = answered[rental.name].orEmpty()
        if (machineNames.any { context.transactions.isWritePending(StoreKeys.MACHINE + it) }) return
        val missing = machineNames.filter { it !in context.view.machines }
        val batchSize = context.transactions.budget.bulk(context.settings.stateLimits.txnOps - 1)
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

    /** Stores a request for [count] machines of [offer]; nothing happens if the write budget is used up. */
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

        /** An unanswered request is repeated after this share of a heartbeat interval. */
        private const val RETRY_HEARTBEATS = 0.5

        /** PROTOCOL-flaxfield.md: at most so many machines in one rental. */
        const val MAX_PER_RENTAL = 50
    }
}
