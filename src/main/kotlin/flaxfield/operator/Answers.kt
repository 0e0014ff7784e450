package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.drain.Absence
import flaxfield.drain.Availability
import flaxfield.drain.DrainPhase
import flaxfield.drain.DrainPlan
import flaxfield.drain.DrainPlanner
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.RepeatPolicy
import flaxfield.drain.TeamAvailability
import flaxfield.drain.WaitReason
import flaxfield.operator.v1.Budget
import flaxfield.operator.v1.Capacity
import flaxfield.operator.v1.Drain
import flaxfield.operator.v1.Machine
import flaxfield.operator.v1.Selector
import flaxfield.operator.v1.Spending
import flaxfield.operator.v1.Wait

/** Pure: what operators are told of one snapshot. The same snapshot gives the same answer on every node. */
class Answers(private val snapshot: FleetSnapshot, mostEntries: Int) {
    private val plan: DrainPlan by lazy { DrainPlanner(snapshot, mostEntries).plan() }

    /** All drains, the oldest first. */
    fun drains(): List<Drain> = snapshot.drains.values.sortedWith(compareBy({ it.orderedMs }, { it.id })).map(::drain)

    /** The drain called [id], or null. */
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
            .addAllWaits(waits.map { (machine, reason) -> wait(machine, reason) })
            .build()
    }

    private fun state(record: DrainRecord, disrupted: Int, waits: Boolean): String = when {
        record.phase != DrainPhase.ACTIVE -> record.phase.name.lowercase()
        record.target == null || record.cordoned == 0 -> "requested"
        plan.actions.any { it.drain.id == record.id } -> "draining"
        waits -> "waiting"
        disrupted > 0 -> "draining"
        else -> "cordoned"
    }

    private fun selector(record: DrainRecord): Selector {
        val s = record.selector
        val builder = Selector.newBuilder().addAllMachines(s.machines.sorted())
        s.machineType?.let(builder::setMachineType)
        s.zone?.let(builder::setZone)
        s.olderThanS?.let(builder::setOlderThanS)
        s.percent?.let(builder::setPercent)
        return builder.build()
    }

    /** How all teams that have tasks, or budgets of their own, stand; none while a member runs without a fleet file. */
    fun budgets(): List<Budget> {
        val policy = snapshot.policy() ?: return emptyList()
        val availability = Availability(snapshot, policy)
        val named = snapshot.configs.values.flatMapTo(sortedSetOf()) { it.budgets.keys }
        return (named + availability.teams.keys).sorted().map { budget(it, availability.of(it)) }
    }

    /** How [team] stands, also without any task; null while a member runs without a fleet file. */
    fun budgetOf(team: String): Budget? = snapshot.policy()?.let { budget(team, Availability(snapshot, it).of(team)) }

    private fun budget(team: String, available: TeamAvailability): Budget {
        val byDrain = snapshot.ledgers[team]?.entries?.values.orEmpty().groupingBy { it.drain }.eachCount()
        val others = available.absences.filterKeys { it != Absence.DRAINED }.mapKeys { it.key.name.lowercase() }
        val spent = byDrain.toSortedMap() + others.toSortedMap()
        return Budget.newBuilder()
            .setTeam(team)
            .setExpected(capacity(available.expected))
            .setAllowed(capacity(available.allowed))
            .setUnavailable(capacity(available.unavailable))
            .addAllSpent(spent.map { (by, tasks) -> Spending.newBuilder().setBy(by).setTasks(tasks).build() })
            .build()
    }

    private fun capacity(c: flaxfield.drain.Capacity) =
        Capacity.newBuilder().setCpus(c.cpus).setAccelerators(c.accelerators).build()

    /** All machines, by name. */
    fun machines(): List<Machine> {
        val tasks = HashMap<String, Int>()
        val teams = HashMap<String, MutableSet<String>>()
        for (job in snapshot.jobs.values) {
            for (placed in job.allPlaced()) {
                tasks.merge(placed.machineName, 1, Int::plus)
                teams.getOrPut(placed.machineName) { sortedSetOf() } += job.spec.team
            }
        }
        return snapshot.machines.values.sortedBy { it.name }.map { m ->
            Machine.newBuilder()
                .setName(m.name)
                .setMachineType(m.machineType)
                .setZone(m.zone)
                .setPreemptible(m.preemptible)
                .setPhase(m.phase.name.lowercase())
                .setHealth((snapshot.machineStatuses[m.name]?.state ?: MachineHealth.UNSEEN).name.lowercase())
                .setDrain(m.cordon.orEmpty())
                .setTasks(tasks[m.name] ?: 0)
                .addAllTeams(teams[m.name].orEmpty())
                .build()
        }
    }

    private fun wait(machine: String, reason: WaitReason): Wait = Wait.newBuilder().setMachine(
        machine,
    ).setReason(WaitText.word(reason)).setDetail(WaitText.sentence(reason)).build()
}

/** Words and sentences for the reasons of waits. */
object WaitText {
    /** A stable word for scripts. */
    fun word(reason: WaitReason): String = when (reason) {
        is WaitReason.WithoutConfig -> "without_fleet_file"
        is WaitReason.RestartForbidden -> "no_repeat"
        is WaitReason.LargerThanBudget -> "larger_than_budget"
        is WaitReason.BudgetExhausted -> "budget_spent"
        is WaitReason.OlderDrainFirst -> "older_drain_first"
        is WaitReason.Stopping -> "stopping"
        is WaitReason.GangInTransition -> "gang_unsettled"
        is WaitReason.NotReporting -> "not_reporting"
        is WaitReason.LedgerFull -> "ledger_full"
        is WaitReason.CordonLimitReached -> "most_cordoned"
    }

    /** What a person should know. */
    fun sentence(reason: WaitReason): String = when (reason) {
        is WaitReason.WithoutConfig -> "controllers without a fleet file: ${reason.members.joinToString()}"
        is WaitReason.RestartForbidden ->
            "${reason.job} of class ${reason.jobClass} ends by itself: the class is repeated ${repeated(reason.policy)}"
        is WaitReason.LargerThanBudget ->
            "${reason.job} takes ${amount(
                reason.cost,
            )}, all that team ${reason.team} may lack is ${amount(reason.allowed)}"
        is WaitReason.BudgetExhausted ->
            "team ${reason.team} lacks ${amount(
                reason.unavailable,
            )} of ${amount(reason.allowed)}, the next step takes ${amount(reason.cost)}"
        is WaitReason.OlderDrainFirst -> "drain ${reason.drain} waits for the budget of team ${reason.team}"
        is WaitReason.Stopping -> "${reason.tasks} tasks have been told to stop"
        is WaitReason.GangInTransition -> "gang ${reason.job} is being stopped or started"
        is WaitReason.NotReporting -> "its worker is ${reason.state.name.lowercase()}"
        is WaitReason.LedgerFull -> "the ledger of team ${reason.team} holds ${reason.entries} tasks"
        is WaitReason.CordonLimitReached -> "${reason.limit} machines are kept from new work already"
    }

    private fun repeated(policy: RepeatPolicy) = when (policy) {
        RepeatPolicy.NEVER -> "never"
        RepeatPolicy.CHECKPOINTED -> "from checkpoints only, and the job saves none"
        RepeatPolicy.ANY -> "at any time"
    }

    private fun amount(c: flaxfield.drain.Capacity) =
        "${number(c.cpus)} CPUs and ${number(c.accelerators)} accelerators"

    private fun number(value: Double): String = if (value ==
        Math.rint(value)
    ) {
        value.toLong().toString()
    } else {
        "%.2f".format(value)
    }
}
