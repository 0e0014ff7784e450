package flaxfield.drain

/** The contents of one controller's fleet file, which the controller publishes under its name. */
data class FleetConfig(
    /** The incarnation of the controller that published the file. A file of an earlier incarnation does not count. */
    val incarnation: String,
    val budgets: Map<String, BudgetLimit>,
    val defaultBudget: BudgetLimit,
    val classes: Map<String, RepeatPolicy>,
    val defaultRepeat: RepeatPolicy,
    /** The number of machines whose replacements may be provisioned ahead of their drain. */
    val surgeMachines: Int,
    /** The number of machines that all drains together may cordon at once. */
    val maxCordoned: Int,
    /**
     * The recovery tier of each named job class after the loss of a zone; tier 0 is recovered first. Jobs of other
     * classes are ordered by priority.
     */
    val recoveryTiers: Map<String, Int> = emptyMap(),
)

/** Combines the fleet files of all controllers. Where they differ, the strictest value applies. */
class FleetPolicy(private val configs: Collection<FleetConfig>) {
    /** Returns the capacity of [team] that may be unavailable at once, if its placed and lost tasks take [expected]. */
    fun allowed(team: String, expected: Capacity): Capacity =
        configs.map { (it.budgets[team] ?: it.defaultBudget).allowed(expected) }.reduce(Capacity::min)

    /** Returns whether running tasks of [jobClass] may be stopped and restarted. */
    fun repeatPolicy(jobClass: String): RepeatPolicy = configs.minOf { it.classes[jobClass] ?: it.defaultRepeat }

    /** Returns the recovery tier of [jobClass] after the loss of a zone; null if no file names the class. */
    fun recoveryTier(jobClass: String): Int? = configs.mapNotNull { it.recoveryTiers[jobClass] }.minOrNull()

    /** The number of machines whose replacements may be provisioned ahead of their drain. */
    val surgeMachines: Int get() = configs.minOf { it.surgeMachines }

    /** The number of machines that all drains together may cordon at once. */
    val maxCordoned: Int get() = configs.minOf { it.maxCordoned }
}
