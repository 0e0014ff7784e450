package flaxfield.client

import java.time.Duration
import java.time.format.DateTimeParseException

/** Durations on the command line: a decimal number and a unit of seconds, minutes, hours or days. */
internal object Durations {
    private val FORMAT = Regex("[0-9]+(\\.[0-9]+)?[smhd]")
    private const val DAY_S = 86_400.0

    /** The seconds of a duration such as `90m`; throws [ClientFault] if it is none. */
    fun seconds(text: String): Double {
        if (!FORMAT.matches(text)) throw ClientFault(ExitCode.USAGE, "'$text' is not a duration such as 90m, 12h or 7d")
        if (text.endsWith("d")) return text.dropLast(1).toDouble() * DAY_S
        return try {
            Duration.parse("PT" + text.uppercase()).toMillis() / MILLIS
        } catch (e: DateTimeParseException) {
            // A duration of the standard library takes fractions of seconds only.
            val unit = if (text.endsWith("h")) HOUR_S else MINUTE_S
            text.dropLast(1).toDouble() * unit
        }
    }

    private const val MILLIS = 1000.0
    private const val MINUTE_S = 60.0
    private const val HOUR_S = 3_600.0
}
