package flaxfield.operator

import flaxfield.drain.DrainPhase
import flaxfield.drain.DrainPlan
import flaxfield.drain.DrainPlanner
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.WaitReason
import flaxfield.operator.v1.Drain
import flaxfield.operator.v1.Selector
import flaxfield.operator.v1.Wait

/** Builds the responses about drains from one snapshot. Pure: all controllers give the same response at a revision. */
class DrainResponses(private val snapshot: FleetSnapshot, maxLedgerEntries: Int) {
    private val plan: DrainPlan by lazy { DrainPlanner(snapshot, maxLedgerEntries).plan() }

    /** Returns all drains, the oldest first. */
    fun drains(): List<Drain> = snapshot.drains.values.sortedWith(compareBy({ it.orderedMs }, { it.id })).map(::drain)

    /** Returns the drain called [id], or null if it does not exist. */
    fun drain(id: String): Drain? = snapshot.drains[id]?.let(::drain)

    private fun drain(record: DrainRecord): Drain {
        val remaining = snapshot.machines.values.count { it.cordon == record.id }
        val disrupted = snapshot.ledgers.values.sumOf { ledger ->
            ledger.entries.values.count { it.drain == record.id }
        }
        val waits = plan.waits[record.id].orEmpty()
        return Drain.newBuilder()
            .setId(record.id)
            .setSelector(selector(record))
            .setOrderedMs(record.orderedMs)
            .setState(state(record, disrupted, waits.isNotEmpty()))
            .setTarget(record.target ?: 0)
            .setCordoned(record.cordoned)
            .setRemaining(remaining)
            .setDisrupted(disrupted)
            .setNote(record.note)
            .addAllWaits(waits.map { (machineName, reason) -> wait(machineName, reason) })
            .build()
    }

    private fun state(record: DrainRecord, disrupted: Int, isWaiting: Boolean): String = when {
        record.phase != DrainPhase.ACTIVE -> record.phase.name.lowercase()
        record.target == null || record.cordoned == 0 -> "requested"
        plan.actions.any { it.drain.id == record.id } -> "draining"
        isWaiting -> "waiting"
        disrupted > 0 -> "draining"
        else -> "cordoned"
    }

    private fun selector(record: DrainRecord): Selector {
        val selector = record.selector
        val builder = Selector.newBuilder().addAllMachines(selector.machines.sorted())
        selector.machineType?.let(builder::setMachineType)
        selector.zone?.let(builder::setZone)
        selector.olderThanS?.let(builder::setOlderThanS)
        selector.percent?.let(builder::setPercent)
        return builder.build()
    }

    private fun wait(machineName: String, reason: WaitReason): Wait = Wait.newBuilder()
        .setMachine(machineName)
        .setReason(WaitReasonText.code(reason))
        .setDetail(WaitReasonText.detail(reason))
        .build()
}
