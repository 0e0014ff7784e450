package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskId
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction

/** Builds the transaction of one batch of evictions. Pure: depends only on the snapshot and the term. */
class EvictionTransaction(private val snapshot: FleetSnapshot, private val term: ULong) {
    /**
     * Returns a transaction that stops [units] and charges them to their teams' ledgers. It is conditional on the term,
     * the drain, the ledgers, each controller's loss record, the jobs and the machines. The whole transaction thus
     * fails if another drain's charge, a loss or an operator's pause is committed after the snapshot.
     */
    fun build(drain: DrainRecord, machines: List<Machine>, units: List<DisruptionUnit>): Transaction {
        val conditions = HashMap<String, ULong>()
        val changes = ArrayList<Change>()
        conditions[StoreKeys.ASSIGNMENT] = term
        conditions[FleetKeys.DRAIN + drain.id] = drain.version
        for (machine in machines) conditions[StoreKeys.MACHINE + machine.name] = machine.version
        for (member in snapshot.assignment?.members.orEmpty()) {
            conditions[FleetKeys.LOSS + member.name] = snapshot.lossMarks[member.name] ?: 0uL
        }
        for ((id, jobUnits) in units.groupBy { it.job.id }) {
            val job = snapshot.jobs[id] ?: continue
            val stop = JobTransactions.update(job, job.stop(runningTasks(job, jobUnits)), term)
            conditions += stop.conditions
            changes += stop.changes
        }
        for ((team, teamUnits) in units.groupBy { it.team }) {
            val ledger = snapshot.ledgers[team] ?: Ledger(team, emptyMap(), 0uL)
            val key = FleetKeys.LEDGER + team
            conditions[key] = ledger.version
            changes += Change.Put(key, DrainCodec.encode(charge(ledger, drain, teamUnits)))
        }
        return Transaction(conditions, changes)
    }

    private fun charge(ledger: Ledger, drain: DrainRecord, units: List<DisruptionUnit>): Ledger {
        val charged = units.flatMap { unit ->
            runningTasks(unit.job, listOf(unit)).map { entry(drain, unit.job, it) }
        }
        return ledger.copy(entries = ledger.entries + charged)
    }

    private fun runningTasks(job: Job, units: List<DisruptionUnit>): List<Int> = units
        .flatMap { it.tasks }
        .filter { job.placed(it)?.stopping == false }

    private fun entry(drain: DrainRecord, job: Job, index: Int) =
        TaskId(job.id, index) to Disruption(job.placed(index)?.attempt ?: 0L, drain.id)
}
