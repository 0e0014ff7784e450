package flaxfield.drain

/** The contents of one controller's fleet file, published under the controller's name. */
data class FleetConfig(
    /** The incarnation of the controller that published it: a later incarnation has not read the file yet. */
    val incarnation: String,
    val budgets: Map<String, BudgetLimit>,
    val defaultBudget: BudgetLimit,
    val classes: Map<String, RepeatPolicy>,
    val defaultRepeat: RepeatPolicy,
    /** How many machines may be replaced ahead of their drain by scaling out. */
    val surgeMachines: Int,
    /** How many machines drains may cordon at once. */
    val maxCordoned: Int,
    /**
     * The order in which classes are recovered after the loss of a zone, 0 first; classes that are not named are
     * ordered by their jobs' priority.
     */
    val recoveryTiers: Map<String, Int> = emptyMap(),
)

/** The fleet files of all controllers combined. While they differ, the strictest value applies. */
class FleetPolicy(private val configs: Collection<FleetConfig>) {
    /** How much of the capacity of [team] may be unavailable at once while its tasks take [expected]. */
    fun allowed(team: String, expected: Capacity): Capacity =
        configs.map { (it.budgets[team] ?: it.defaultBudget).allowed(expected) }.reduce(Capacity::min)

    /** Whether tasks of [jobClass] may be restarted. */
    fun repeatPolicy(jobClass: String): RepeatPolicy = configs.minOf { it.classes[jobClass] ?: it.defaultRepeat }

    /** The recovery tier of [jobClass] after the loss of a zone; null if no file names it. */
    fun recoveryTier(jobClass: String): Int? = configs.mapNotNull { it.recoveryTiers[jobClass] }.minOrNull()

    /** How many machines may be replaced ahead of their drain by scaling out. */
    val surgeMachines: Int get() = configs.minOf { it.surgeMachines }

    /** How many machines drains may cordon at once. */
    val maxCordoned: Int get() = configs.minOf { it.maxCordoned }
}
