package flaxfield

/** Nanoseconds of the steady clock in a second; fractional, since most times are ratios of settings in seconds. */
const val NANOS_PER_SECOND = 1e9

/** Nanoseconds of the steady clock in a millisecond. */
const val NANOS_PER_MILLI = 1_000_000L

/** Milliseconds of the time of day in a second; fractional, as [NANOS_PER_SECOND]. */
const val MILLIS_PER_SECOND = 1000.0

/** Bytes in the unit in which the state service's limits are given. */
const val BYTES_PER_KIB = 1024
