package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskEvent
import flaxfield.jobs.TaskEventCommitter
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** The leader's returns, and the cloud's list, which tells of machines that have stopped or that nobody knows. */
class MachineReturner(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rate: CloudRate,
    private val taskEvents: TaskEventCommitter,
) {
    /** A page of the list has been asked for. */
    private var listOpen = false

    /** The list that is being read; null between two lists. */
    private var reading: ListSoFar? = null
    private var nextListNs = 0L
    private class ListSoFar(val from: String?, val hosts: List<ListedMachine>)

    private var returnOpen = false
    private val unknownMachines = UnknownMachines()
    private val failed = HashSet<String>()

    /** Machines whose return was answered: gone for good, while their records still stand. */
    private val gone = HashSet<String>()

    fun run() {
        dropGone()
        // The list first: it is asked for at its own pace, and behind returns and rentals it grew older than what it
        // tells. Its further pages come after returns: a list of 4,000 machines has eight.
        if (reading == null) {
            askList()
            giveBack()
        } else {
            giveBack()
            askList()
        }
    }

    /** This node leads no more: what it saw in lists is of no use to it. */
    fun forget() {
        unknownMachines.clear()
        gone.clear()
        reading = null
        nextListNs = 0
    }

    /** Whether the cloud has listed [machineName] as stopped by itself. */
    fun failed(machineName: String): Boolean = machineName in failed

    /**
     * Asks for the next page. Each page is a request: asked for at once, those of a large fleet were refused for their
     * rate.
     */
    private fun askList() {
        if (listOpen || reading == null && context.nowNs < nextListNs || !rate.allows(context.nowNs)) return
        listOpen = true
        val before = reading ?: ListSoFar(null, emptyList())
        cloud.list(before.from) { page -> context.post { read(before, page) } }
    }

    private fun read(before: ListSoFar, page: ListPage?) {
        listOpen = false
        reading = null
        if (page == null) {
            nextListNs = context.nowNs + (context.settings.listLagS * NANOS_PER_SECOND).toLong()
            return
        }
        val hosts = before.hosts + page.hosts
        if (page.more &&
            page.hosts.isNotEmpty()
        ) {
            reading = ListSoFar(page.hosts.last().machineName, hosts)
        } else {
            listed(hosts)
        }
    }

    /** The list lags, so it is a hint, but for `failed`: a machine that has stopped by itself stays so. */
    private fun listed(hosts: List<ListedMachine>) {
        nextListNs = context.nowNs + (context.settings.listLagS * LIST_LAGS * NANOS_PER_SECOND).toLong()
        for (l in hosts) {
            if (l.failed && l.machineName in context.view.machines) failed += l.machineName
        }
        unknownMachines.listed(hosts.map { it.machineName }, context.view.machines.keys, context.nowNs)
    }

    /** Returns what is marked as retiring, and machines listed for long that nobody knows. */
    private fun giveBack() {
        if (returnOpen) return
        val limit = ((context.settings.listLagS * 2 + GONE_LISTED_S) * NANOS_PER_SECOND).toLong()
        val unknown = unknownMachines.due(context.view.machines.keys, context.nowNs - limit)
        val retiring = context.view.machines.values
            .filter {
                it.phase == MachinePhase.RETIRING &&
                    it.name !in gone &&
                    !context.transactions.isWritePending(StoreKeys.MACHINE + it.name)
            }
            .filter { context.zones?.mayReturn(it) ?: true }
            .let { ReturnOrder.sort(context, it) }
            .map { it.name }
        val names = (retiring + unknown).take(MAX_RETURNED)
        if (names.isEmpty() || !rate.allows(context.nowNs)) return
        returnOpen = true
        cloud.giveBack(names) { ok ->
            context.post {
                returnOpen = false
                log.info("machines={} returned, answered={}", names, ok)
                if (ok) returned(names)
            }
        }
    }

    /**
     * The answer to a return proves that the machine and everything on it is gone. Nothing is placed there any more,
     * since each placement carries the machine's version, and its retirement has changed that.
     */
    private fun returned(hosts: List<String>) {
        for (machineName in hosts) {
            unknownMachines.forget(machineName)
            failed.remove(machineName)
            val m = context.view.machines[machineName] ?: continue
            if (!context.leadership.isLeader()) continue
            // One that was taken in while its return as a stranger was under way may still be given tasks: it is
            // returned anew.
            if (m.phase == MachinePhase.RETIRING) gone += machineName
            for (r in context.view.on(machineName)) {
                taskEvents.add(
                    TaskEvent.Lost(
                        r.job.id,
                        r.placed.index,
                        r.placed.attempt,
                        machineName,
                        "machine returned",
                        false,
                        outcomeUnknown = true,
                    ),
                )
            }
        }
        dropGone()
    }

    /** Drops the records of machines that are gone, once those of their tasks are. */
    private fun dropGone() {
        if (gone.isEmpty()) return
        val w = context.view
        gone.retainAll(w.machines.keys)
        val empty = gone.mapNotNull { w.machines[it] }.filter {
            w.isEmpty(it.name) &&
                !context.transactions.isWritePending(StoreKeys.MACHINE + it.name)
        }
        for (some in empty.chunked(context.transactions.budget.bulk(context.settings.stateLimits.txnOps))) {
            val conditions =
                JobTransactions.assignmentFence(context) + some.associate { StoreKeys.MACHINE + it.name to it.version }
            if (!context.transactions.submit(
                    WriteCause.FLEET,
                    Transaction(
                        conditions,
                        some.map {
                            Change.Delete(StoreKeys.MACHINE + it.name)
                        },
                    ),
                )
            ) {
                return
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")
        const val LIST_LAGS = 1.0

        /** PROTOCOL-flaxfield.md: a machine that dies stays listed for about 30 s more. */
        const val GONE_LISTED_S = 30.0

        /** PROTOCOL-flaxfield.md: at most so many names a return. */
        const val MAX_RETURNED = 100
    }
}
