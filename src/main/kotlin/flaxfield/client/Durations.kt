package flaxfield.client

import java.time.Duration
import java.time.format.DateTimeParseException

/** Parses durations on the command line: a decimal number and the unit `s`, `m`, `h` or `d`. */
internal object Durations {
    private val FORMAT = Regex("[0-9]+(\\.[0-9]+)?[smhd]")
    private const val SECONDS_PER_DAY = 86_400.0

    /** Returns the seconds of a duration such as `90m`; throws [ClientException] if [text] is not a duration. */
    fun parseSeconds(text: String): Double {
        if (!FORMAT.matches(text)) {
            throw ClientException(ExitCode.USAGE, "'$text' is not a duration such as 90m, 12h or 7d")
        }
        if (text.endsWith("d")) return text.dropLast(1).toDouble() * SECONDS_PER_DAY
        return try {
            Duration.parse("PT" + text.uppercase()).toMillis() / MILLIS_PER_SECOND
        } catch (e: DateTimeParseException) {
            // Duration.parse accepts fractions of seconds only.
            val unit = if (text.endsWith("h")) SECONDS_PER_HOUR else SECONDS_PER_MINUTE
            text.dropLast(1).toDouble() * unit
        }
    }

    private const val MILLIS_PER_SECOND = 1000.0
    private const val SECONDS_PER_MINUTE = 60.0
    private const val SECONDS_PER_HOUR = 3_600.0
}
