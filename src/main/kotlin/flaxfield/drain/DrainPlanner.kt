package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.TaskId

/** Tasks that are stopped together or not at all: a whole gang, or one task of an array. */
data class DisruptionUnit(val job: Job, val tasks: List<Int>) {
    val team: String get() = job.spec.team
}

/** Why a machine that is drained is not emptied further now. */
sealed interface WaitReason {
    /** The controllers named do not run with a fleet file. */
    data class WithoutConfig(val members: List<String>) : WaitReason

    /** The job's class forbids a repeat: its tasks end by themselves. */
    data class NoRepeat(val job: String, val jobClass: String, val policy: RepeatPolicy) : WaitReason

    /** The gang, or the single task, is larger than its team's whole budget. */
    data class LargerThanBudget(val job: String, val team: String, val cost: Capacity, val allowed: Capacity) :
        WaitReason

    /** The team lacks too much already. */
    data class BudgetSpent(val team: String, val cost: Capacity, val unavailable: Capacity, val allowed: Capacity) :
        WaitReason

    /** An older drain waits for this team's budget. */
    data class OlderDrainFirst(val drain: String, val team: String) : WaitReason

    /** Tasks have been told to stop and are on the machine still. */
    data class Stopping(val tasks: Int) : WaitReason

    /** The gang is being stopped or started as a whole already. */
    data class GangUnsettled(val job: String) : WaitReason

    /** The machine does not report, or is to be given up by another duty. */
    data class NotReporting(val state: MachineHealth) : WaitReason

    /** The team's ledger holds as many tasks as one value of the state service takes. */
    data class LedgerFull(val team: String, val entries: Int) : WaitReason

    /** As many machines as the files allow are kept from new work. */
    data class MostCordoned(val most: Int) : WaitReason
}

/** What the leader should commit next for one drain. */
sealed interface DrainAction {
    val drain: DrainRecord

    /** The drain's machines have been counted; [target] of 0 fails it. */
    data class Count(override val drain: DrainRecord, val target: Int) : DrainAction

    /** Keeps new work off [machines]. */
    data class Cordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Stops [units] on [machines], as many of them as one transaction holds; each is charged to its team. */
    data class Step(override val drain: DrainRecord, val machines: List<Machine>, val units: List<DisruptionUnit>) :
        DrainAction

    /** Hands empty [machines] to the fleet's ordinary return. */
    data class Retire(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Gives [machines] back to new work. */
    data class Uncordon(override val drain: DrainRecord, val machines: List<Machine>) : DrainAction

    /** Nothing is left to do. */
    data class Finish(override val drain: DrainRecord, val phase: DrainPhase) : DrainAction
}

/** What is to be done now, and why what waits does so: by drain, the reasons of its machines. */
data class DrainPlan(val actions: List<DrainAction>, val waits: Map<String, Map<String, WaitReason>>)

/** Pure: the next actions of all drains at one revision. */
class DrainPlanner(private val snapshot: FleetSnapshot, private val mostEntries: Int = Int.MAX_VALUE) {
    private val policy = snapshot.policy()
    private val availability = policy?.let { Availability(snapshot, it) }
    private val actions = ArrayList<DrainAction>()
    private val waits = LinkedHashMap<String, LinkedHashMap<String, WaitReason>>()

    /** Teams for whose budget an older drain waits: a younger one must not spend it by and by. */
    private val claimed = HashMap<String, String>()

    private val byDrain: Map<String, List<Machine>> = snapshot.machines.values
        .filter { it.cordon != null }
        .groupBy { it.cordon.orEmpty() }

    /** The tasks on each machine that a drain is to empty; worked out in one walk. */
    private val unitsOn: Map<String, List<DisruptionUnit>> by lazy(LazyThreadSafetyMode.NONE, ::units)

    /** The plan at this revision. */
    fun plan(): DrainPlan {
        val open = snapshot.drains.values.filter { !it.phase.isOver }.sortedWith(AGE)
        for (drain in open) {
            when (drain.phase) {
                DrainPhase.ACTIVE -> active(drain)
                DrainPhase.CANCELLING -> cancelling(drain)
                else -> Unit
            }
        }
        // Stopped before all machines of its drain are cordoned, a task may go to one that is taken next, to be stopped
        // again.
        val unsettled = actions.filter {
            it is DrainAction.Cordon || it is DrainAction.Count
        }.mapTo(HashSet()) { it.drain.id }
        step(open.filter { it.phase == DrainPhase.ACTIVE && it.id !in unsettled })
        return DrainPlan(actions, waits)
    }

    private fun active(drain: DrainRecord) {
        val target = drain.target
        if (target == null) {
            actions += DrainAction.Count(drain, count(drain))
            return
        }
        val held = byDrain[drain.id].orEmpty()
        val candidates = if (drain.cordoned < target) candidates(drain) else emptyList()
        val missing = minOf(target - drain.cordoned, candidates.size)
        if (missing > 0) cordon(drain, candidates.take(missing))
        if (missing <= 0 && held.isEmpty()) {
            actions += DrainAction.Finish(drain, DrainPhase.DONE)
            return
        }
        val empty = held.filter { it.phase == MachinePhase.UP && unitsOn[it.name].isNullOrEmpty() }
        if (empty.isNotEmpty()) actions += DrainAction.Retire(drain, empty)
    }

    private fun cordon(drain: DrainRecord, machines: List<Machine>) {
        val policy =
            policy ?: return wait(drain, ALL_MACHINES, WaitReason.WithoutConfig(snapshot.membersWithoutConfig()))
        val room = policy.maxCordoned - byDrain.values.sumOf { it.size }
        if (room > 0) {
            actions += DrainAction.Cordon(drain, machines.take(room))
        } else {
            wait(drain, ALL_MACHINES, WaitReason.MostCordoned(policy.maxCordoned))
        }
    }

    private fun cancelling(drain: DrainRecord) {
        // A machine that is empty and on its way back to the cloud goes on.
        val held = byDrain[drain.id].orEmpty().filter { it.phase == MachinePhase.UP }
        actions +=
            if (held.isEmpty()) DrainAction.Finish(drain, DrainPhase.CANCELLED) else DrainAction.Uncordon(drain, held)
    }

    /** Machines that the drain is for and that no drain has taken yet, the oldest first. */
    private fun candidates(drain: DrainRecord): List<Machine> = snapshot.machines.values
        .filter { it.takesWork && drain.selector.fits(it, drain.orderedMs) }
        .sortedWith(compareBy({ it.sinceMs }, { it.name }))

    private fun count(drain: DrainRecord): Int {
        val all = candidates(drain).size
        val percent = drain.selector.percent ?: return all
        return Math.ceil(all * percent / PERCENT - ROUNDING).toInt()
    }

    private fun units(): Map<String, List<DisruptionUnit>> {
        val drained = byDrain.values.flatMapTo(HashSet()) { list -> list.map { it.name } }
        val result = HashMap<String, MutableList<DisruptionUnit>>()
        for (job in snapshot.jobs.values) {
            val here = job.allPlaced().filter { it.machineName in drained }.groupBy { it.machineName }
            for ((machineName, tasks) in here) {
                val list = result.getOrPut(machineName) { ArrayList() }
                if (job.isGang) {
                    list += DisruptionUnit(job, job.allPlaced().map { it.index }.sorted().toList())
                } else {
                    for (task in tasks) list += DisruptionUnit(job, listOf(task.index))
                }
            }
        }
        return result
    }

    /** What the step that is being put together has taken so far. */
    private class Taken {
        val offers = ArrayList<Offer>()
        val costs = HashMap<String, Capacity>()
        private val units = HashSet<TaskId>()

        fun cost(team: String): Capacity = costs[team] ?: Capacity.NONE

        /** A gang is stopped once, though it is on several machines. */
        fun has(unit: DisruptionUnit) = TaskId(unit.job.id, unit.tasks.first()) in units

        fun add(offer: Offer) {
            offers += offer
            for ((team, cost) in offer.costs) costs[team] = cost(team) + cost
            for (u in offer.units) units += TaskId(u.job.id, u.tasks.first())
        }
    }

    /** Puts one step together, of the oldest drain that can make one: machine by machine, while the budgets hold. */
    private fun step(drains: List<DrainRecord>) {
        var taken = Taken()
        for (drain in drains) {
            val machines = byDrain[drain.id].orEmpty().sortedBy { it.name }
            // Also where a step is made already: why the others wait is noted on the way.
            var offers = machines.mapNotNull { offer(drain, it, taken) }
            if (taken.offers.isNotEmpty()) continue
            while (offers.isNotEmpty() && taken.offers.size < MAX_MACHINES) {
                taken.add(offers.minWith(OFFERS))
                val done = taken.offers.mapTo(HashSet()) { it.machine.name }
                offers = offers.filter { it.machine.name !in done }.mapNotNull { offer(drain, it.machine, taken) }
            }
            if (taken.offers.isEmpty()) continue
            actions += DrainAction.Step(drain, taken.offers.map { it.machine }, taken.offers.flatMap { it.units })
        }
    }

    /** A step that could be made on one machine. */
    private class Offer(
        val machine: Machine,
        val units: List<DisruptionUnit>,
        val costs: Map<String, Capacity>,
        val empties: Boolean,
        val spent: Double,
        val left: Int,
    )

    /** What can be stopped on [machine] beside what is [taken]; null, with the reason noted, if nothing. */
    private fun offer(drain: DrainRecord, machine: Machine, taken: Taken): Offer? {
        val units = unitsOn[machine.name].orEmpty()
        val reason = blocked(machine, units)
        if (reason != null) {
            wait(drain, machine.name, reason)
            return null
        }
        val open = units.filter { stoppable(it) && !taken.has(it) }
        if (open.isEmpty()) return null
        val costs = HashMap<String, Capacity>()
        val some = open.filter { affordable(drain, machine, it, taken, costs) }
        val availability = availability
        if (some.isEmpty() || availability == null) return null
        val spent = costs.maxOf { (team, cost) ->
            availability.of(team).let { (it.unavailable + taken.cost(team) + cost).partOf(it.allowed) }
        }
        return Offer(
            machine,
            some,
            costs,
            some.size == open.size,
            spent,
            open.sumOf { it.tasks.size } - some.sumOf { it.tasks.size },
        )
    }

    /** Why nothing on [machine] may be stopped now, whatever the budgets hold. */
    private fun blocked(machine: Machine, units: List<DisruptionUnit>): WaitReason? {
        val policy = policy ?: return WaitReason.WithoutConfig(snapshot.membersWithoutConfig())
        if (machine.phase != MachinePhase.UP) return null
        val state = snapshot.machineStatuses[machine.name]?.state ?: MachineHealth.UNSEEN
        if (units.isNotEmpty() && state in UNREACHED) return WaitReason.NotReporting(state)
        val live = units.filter { !it.job.cancelled }
        // While one task must end by itself the machine stays: the others go on until then.
        val kept = live.firstOrNull { !policy.repeat(it.job.spec.jobClass).allows(it.job.spec) }
        if (kept != null) {
            val jobClass = kept.job.spec.jobClass
            return WaitReason.NoRepeat(kept.job.id, jobClass, policy.repeat(jobClass))
        }
        val unsettled = live.firstOrNull { it.job.isGang && disrupted(it) }
        if (unsettled != null) return WaitReason.GangUnsettled(unsettled.job.id)
        val large = live.firstOrNull { stoppable(it) && !budgetOf(it).everPermits(whole(it)) }
        if (large !=
            null
        ) {
            return WaitReason.LargerThanBudget(large.job.id, large.team, whole(large), budgetOf(large).allowed)
        }
        return if (units.isNotEmpty() &&
            units.none(::stoppable)
        ) {
            WaitReason.Stopping(units.sumOf { it.tasks.size })
        } else {
            null
        }
    }

    private fun budgetOf(unit: DisruptionUnit): TeamAvailability = checkNotNull(availability).of(unit.team)

    private fun whole(unit: DisruptionUnit): Capacity = Capacity.of(unit.job.spec) * unit.tasks.size

    /**
     * Whether a gang is on its way out already: a task of it is stopping, or none of it is complete on its machines.
     */
    private fun disrupted(unit: DisruptionUnit): Boolean =
        unit.tasks.any { unit.job.placed(it)?.stopping ?: false } || unit.job.placedCount < unit.job.spec.taskCount

    private fun stoppable(unit: DisruptionUnit): Boolean =
        !unit.job.cancelled && unit.tasks.any { unit.job.placed(it)?.stopping == false }

    /** Adds a unit's cost to [costs] if its team can bear it. */
    private fun affordable(
        drain: DrainRecord,
        machine: Machine,
        unit: DisruptionUnit,
        taken: Taken,
        costs: MutableMap<String, Capacity>,
    ): Boolean {
        val budget = budgetOf(unit)
        val here = costs[unit.team] ?: Capacity.NONE
        val before = taken.cost(unit.team) + here
        val cost = cost(unit)
        val older = claimed[unit.team]
        if (older != null && older != drain.id) {
            wait(drain, machine.name, WaitReason.OlderDrainFirst(older, unit.team))
            return false
        }
        val entries = snapshot.ledgers[unit.team]?.entries?.size ?: 0
        if (entries + unit.tasks.size > mostEntries) {
            wait(drain, machine.name, WaitReason.LedgerFull(unit.team, entries))
            return false
        }
        if (!budget.permits(before + cost)) {
            wait(
                drain,
                machine.name,
                WaitReason.BudgetSpent(unit.team, cost, budget.unavailable + before, budget.allowed),
            )
            claimed.putIfAbsent(unit.team, drain.id)
            return false
        }
        costs[unit.team] = here + cost
        return true
    }

    /** What stopping a unit takes from its team: nothing for what is unavailable already. */
    private fun cost(unit: DisruptionUnit): Capacity {
        val availability = availability ?: return Capacity.NONE
        return Capacity.of(unit.job.spec) * unit.tasks.count { availability.absence(unit.job, it) == null }
    }

    private fun wait(drain: DrainRecord, machine: String, reason: WaitReason) {
        waits.getOrPut(drain.id) { LinkedHashMap() }.putIfAbsent(machine, reason)
    }

    companion object {
        /** Stands for all machines of a drain in the reasons. */
        const val ALL_MACHINES = "*"
        private const val PERCENT = 100.0

        /**
         * Machines in one step. One machine a step took three times as long as the budgets allow at 500 machines; what
         * a transaction holds of them is the reconciler's to see to.
         */
        private const val MAX_MACHINES = 8

        /** A share of a whole number of machines must not become one more by the last bit. */
        private const val ROUNDING = 1e-9

        /** Halts would not get through, or the machine is given up anyway. */
        private val UNREACHED = setOf(MachineHealth.SILENT, MachineHealth.UNSEEN, MachineHealth.FAULTY)

        /** Older drains first. */
        private val AGE = compareBy<DrainRecord>({ it.orderedMs }, { it.id })

        /**
         * Machines that the step empties come first, then the step that leaves its teams the largest part of their
         * budgets: so the cheapest machines go first, and teams that lack the least take their turn. Of machines that
         * no step empties, the one that is nearest to it.
         */
        private val OFFERS =
            compareBy<Offer>({
                !it.empties
            }, { if (it.empties) it.spent else it.left.toDouble() }, { it.spent }, { it.machine.name })
    }
}
