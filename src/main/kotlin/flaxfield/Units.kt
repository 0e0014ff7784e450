package flaxfield

/** Nanoseconds per second. A double, since most durations are computed from settings in fractional seconds. */
const val NANOS_PER_SECOND = 1e9

/** Nanoseconds per millisecond. */
const val NANOS_PER_MILLI = 1_000_000L

/** Milliseconds per second; a double for the same reason as [NANOS_PER_SECOND]. */
const val MILLIS_PER_SECOND = 1000.0

/** Bytes per KiB, the unit of the state service's size limits. */
const val BYTES_PER_KIB = 1024
