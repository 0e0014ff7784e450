package flaxfield.drain

/** The limit on a team's capacity that may be unavailable at once. */
sealed interface BudgetLimit {
    /** Returns the limit for a team whose placed and lost tasks take [expected]. */
    fun allowed(expected: Capacity): Capacity

    /** A fixed amount. */
    data class Absolute(val amount: Capacity) : BudgetLimit {
        override fun allowed(expected: Capacity) = amount
    }

    /** A percentage of the expected capacity. It is never rounded up: if it covers no single task, drains wait. */
    data class Percent(val percent: Double) : BudgetLimit {
        override fun allowed(expected: Capacity) = expected * (percent / HUNDRED_PERCENT)
    }

    private companion object {
        const val HUNDRED_PERCENT = 100.0
    }
}
