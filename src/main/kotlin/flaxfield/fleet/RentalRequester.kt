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
 * The leader's rentals, from the record of what is wanted over the cloud's answer to the records of the machines. Each
 * is written down before it is sent, so that a new leader asks again under the same name.
 */
class RentalRequester(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rate: CloudRate,
) {
    private class Refusal(val untilNs: Long, val times: Int)

    private var requests = 0

    /** When a rental may be sent again, by its name. */
    private val asking = HashMap<String, Long>()

    /** Rentals that have a clear answer, until it is written down. */
    private val granted = HashMap<String, List<String>>()
    private val refused = HashMap<Offer, Refusal>()

    /** This node leads no more: what it asked is for the next leader. */
    fun forget() {
        asking.clear()
        granted.clear()
    }

    /** How many machines of [rental] are still to come. */
    fun coming(rental: Rental): Int = granted[rental.name]?.count { it !in context.view.machines } ?: rental.count

    /** Whether the cloud has just said that it has no machines of [offer]. */
    fun isRefused(offer: Offer): Boolean = refused[offer]?.let { context.nowNs < it.untilNs } ?: false

    /** Sends each rental that is written down until it has a clear answer. */
    fun ask() {
        asking.keys.retainAll(context.view.rentals.keys)
        granted.keys.retainAll(context.view.rentals.keys)
        for (h in context.view.rentals.values.toList()) {
            if (context.transactions.isWritePending(StoreKeys.RENTAL + h.name)) continue
            if (h.name in granted) {
                record(h)
                continue
            }
            if (context.nowNs < (asking[h.name] ?: 0L)) continue
            if (!rate.allows(context.nowNs)) return
            asking[h.name] = Long.MAX_VALUE
            cloud.rent(h) { r -> context.post { rented(h, r) } }
        }
    }

    private fun rented(h: Rental, r: RentalResponse) {
        log.info(
            "rental={} machine_type={} zone={} preemptible={} count={} answer={}",
            h.name,
            h.machineType,
            h.zone,
            h.preemptible,
            h.count,
            r,
        )
        asking[h.name] = context.nowNs + (context.settings.workers.heartbeatIntervalS / 2 * NANOS_PER_SECOND).toLong()
        val offer = Offer(h.machineType, h.zone, h.preemptible)
        when (r) {
            is RentalResponse.Unclear -> return
            is RentalResponse.NoCapacity, is RentalResponse.Malformed -> refuse(offer)
            is RentalResponse.Granted -> if (r.names.size < h.count) refuse(offer) else refused.remove(offer)
        }
        // A clear answer is not asked for again while it is being written down.
        granted[h.name] = (r as? RentalResponse.Granted)?.names.orEmpty()
        if (context.leadership.isLeader()) context.view.rentals[h.name]?.let(::record)
    }

    /**
     * Writes down the machines of an answered hire, some at a time. A rental of more than one transaction
     * takes was written in part, and its hire stood for ever as machines still to come.
     */
    private fun record(h: Rental) {
        val names = granted[h.name].orEmpty()
        if (names.any { context.transactions.isWritePending(StoreKeys.MACHINE + it) }) return
        val left = names.filter { it !in context.view.machines }
        // The hire is dropped with the last of its hosts, so that none is forgotten in between.
        val room = context.transactions.budget.bulk(context.settings.stateLimits.txnOps - 1)
        val some = left.take(room)
        val changes = some.map {
            val m = Machine(it, h.machineType, h.zone, h.preemptible, MachinePhase.UP, context.nowMs, null, 0uL)
            Change.Put(StoreKeys.MACHINE + it, FleetCodec.encode(m))
        }
        val last = if (left.size <= room) listOf(Change.Delete(StoreKeys.RENTAL + h.name)) else emptyList()
        val conditions =
            JobTransactions.assignmentFence(context) + (StoreKeys.RENTAL + h.name to h.version) +
                some.associate { StoreKeys.MACHINE + it to 0uL }
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, changes + last))
    }

    private fun refuse(offer: Offer) {
        val times = (refused[offer]?.times ?: 0) + 1
        val wait = context.settings.listLagS * (1 shl minOf(times - 1, REFUSED_DOUBLINGS))
        refused[offer] = Refusal(context.nowNs + (wait * NANOS_PER_SECOND).toLong(), times)
    }

    /** Writes down that [n] machines of [offer] are wanted. */
    fun want(offer: Offer, n: Int) {
        val h =
            Rental(
                "${context.self.name}-${context.self.incarnation}-${++requests}",
                offer.machineType,
                offer.zone,
                offer.preemptible,
                n,
                context.nowMs,
                0uL,
            )
        val conditions = JobTransactions.assignmentFence(context) + (StoreKeys.RENTAL + h.name to 0uL)
        val sent = context.transactions.submit(
            WriteCause.FLEET,
            Transaction(conditions, listOf(Change.Put(StoreKeys.RENTAL + h.name, FleetCodec.encode(h)))),
        )
        if (sent) {
            log.info(
                "rental={} machine_type={} zone={} preemptible={} count={} term={} wanted",
                h.name,
                h.machineType,
                h.zone,
                h.preemptible,
                n,
                context.leadership.term(),
            )
        }
    }

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.fleet")
        private const val REFUSED_DOUBLINGS = 3

        /** PROTOCOL-flaxfield.md: at most so many machines a rental. */
        const val MAX_PER_RENTAL = 50
    }
}
