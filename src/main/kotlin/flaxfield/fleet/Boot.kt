package flaxfield.fleet

/** How a machine stands that was rented and has not come up yet. */
enum class Boot {
    COMING,

    /** Not to be counted on any more, and not given up yet. */
    OVERDUE,
    LOST,
    ;

    companion object {
        /**
         * Pure. A machine that boots slowly while ones rented after it are up is an exception: it is replaced soon, and
         * given up later. While none is up, all are slow, and those in its place would be as slow: it gets twice the
         * time.
         */
        fun of(ageS: Double, bootTimeS: Double, laterOnesUp: Boolean): Boot {
            val boots = ageS / bootTimeS / (if (laterOnesUp) 1 else PATIENCE)
            return when {
                boots > LOST_BOOTS -> LOST
                boots > OVERDUE_BOOTS -> OVERDUE
                else -> COMING
            }
        }

        /** PROTOCOL-flaxfield.md: usually up to 1.5 times `ready_s`. */
        private const val OVERDUE_BOOTS = 1.6

        /** "Some machines take several times as long": after this many boot times it never comes. */
        private const val LOST_BOOTS = 3.2
        private const val PATIENCE = 2
    }
}
