package flaxfield.drain

import flaxfield.jobs.JobSpec

/** An amount of what a disruption budget counts: CPUs and accelerators together, since teams are granted both. */
data class Capacity(val cpus: Double, val accelerators: Double) {
    operator fun plus(o: Capacity) = Capacity(cpus + o.cpus, accelerators + o.accelerators)

    operator fun times(n: Int) = Capacity(cpus * n, accelerators * n)

    operator fun times(share: Double) = Capacity(cpus * share, accelerators * share)

    /** Whether this amount stays within [limit]. */
    fun within(limit: Capacity): Boolean = cpus <= limit.cpus + EPSILON && accelerators <= limit.accelerators + EPSILON

    /** The smaller amount of each kind. */
    fun least(o: Capacity) = Capacity(minOf(cpus, o.cpus), minOf(accelerators, o.accelerators))

    /** The larger of its parts of [limit]; 0 where nothing is asked for. */
    fun partOf(limit: Capacity): Double = maxOf(part(cpus, limit.cpus), part(accelerators, limit.accelerators))

    private fun part(amount: Double, limit: Double): Double = when {
        amount <= EPSILON -> 0.0
        limit <= 0.0 -> Double.MAX_VALUE
        else -> amount / limit
    }

    companion object {
        val NONE = Capacity(0.0, 0.0)

        /** Amounts are decimal numbers: sums of a few of them must not fail on the last bit. */
        private const val EPSILON = 1e-6

        /** What one task of a job takes. */
        fun of(spec: JobSpec) = Capacity(spec.taskResources.cpus, spec.taskResources.gpus)
    }
}

/** How much of a team's capacity may be unavailable at once. */
sealed interface BudgetLimit {
    /** The amount allowed to a team whose tasks take [expected] while nothing is lost. */
    fun allowed(expected: Capacity): Capacity

    /** A fixed amount. */
    data class Absolute(val most: Capacity) : BudgetLimit {
        override fun allowed(expected: Capacity) = most
    }

    /** A share in percent. It is never rounded up: where it holds no single task, drains wait. */
    data class Percent(val percent: Double) : BudgetLimit {
        override fun allowed(expected: Capacity) = expected * (percent / WHOLE)
    }

    private companion object {
        const val WHOLE = 100.0
    }
}

/** Whether tasks of a class may be stopped and started again. From the strictest to the most lenient. */
enum class RepeatPolicy {
    /** A started task is left to end by itself. */
    NEVER,

    /** Only tasks that save their progress may be stopped. */
    CHECKPOINTED,

    /** Any task may be stopped. */
    ANY,
    ;

    /** Whether a drain may stop tasks of [spec]. */
    fun allows(spec: JobSpec): Boolean = this == ANY || this == CHECKPOINTED && spec.checkpointIntervalS > 0.0
}

/** What one controller's fleet file says of budgets, published under its name. */
data class FleetConfig(
    /** The run of the process that published it: another run has not read the file yet. */
    val incarnation: String,
    val budgets: Map<String, BudgetLimit>,
    val defaultBudget: BudgetLimit,
    val classes: Map<String, RepeatPolicy>,
    val defaultRepeat: RepeatPolicy,
    /** Machines for whose tasks room is rented ahead. */
    val surgeMachines: Int,
    /** Machines that drains may keep new work off at once. */
    val maxCordoned: Int,
    /**
     * How urgent classes are when a zone is lost, 0 first; classes that are not named are as urgent as their jobs'
     * priority.
     */
    val recoveryTiers: Map<String, Int> = emptyMap(),
)

/** The files of all controllers taken together. While they differ, the strictest of them applies. */
class FleetPolicy(private val configs: Collection<FleetConfig>) {
    /** What [team] may lack at once while its tasks take [expected]. */
    fun allowed(team: String, expected: Capacity): Capacity =
        configs.map { (it.budgets[team] ?: it.defaultBudget).allowed(expected) }.reduce(Capacity::least)

    /** Whether tasks of a class may be started again. */
    fun repeat(jobClass: String): RepeatPolicy = configs.minOf { it.classes[jobClass] ?: it.defaultRepeat }

    /** How urgent a class is when a zone is lost; null if no file says. */
    fun recoveryTier(jobClass: String): Int? = configs.mapNotNull { it.recoveryTiers[jobClass] }.minOrNull()

    val surgeMachines: Int get() = configs.minOf { it.surgeMachines }

    val maxCordoned: Int get() = configs.minOf { it.maxCordoned }
}
