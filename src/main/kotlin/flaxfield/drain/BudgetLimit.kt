package flaxfield.drain

/** How much of a team's capacity may be unavailable at once. */
sealed interface BudgetLimit {
    /** The amount allowed to a team whose tasks take [expected] while nothing is lost. */
    fun allowed(expected: Capacity): Capacity

    /** A fixed amount. */
    data class Absolute(val amount: Capacity) : BudgetLimit {
        override fun allowed(expected: Capacity) = amount
    }

    /** A percentage of the expected capacity, never rounded up: where it holds no single task, drains wait. */
    data class Percent(val percent: Double) : BudgetLimit {
        override fun allowed(expected: Capacity) = expected * (percent / PERCENT)
    }

    private companion object {
        const val PERCENT = 100.0
    }
}
