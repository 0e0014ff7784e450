package flaxfield.settings

import flaxfield.codec.MalformedException
import java.io.File
import java.io.IOException
import java.util.Properties

/** The operators' own settings: a Java properties file, validated key by key at startup. */
data class OperatorSettings(
    /** How long idle machines are kept before they are returned, as a multiple of their type's boot time. */
    val keepIdleBoots: Double = 0.8,
    /** Spare machines per gang class, as a multiple of the class's demand during one boot and image fetch. */
    val spareFactor: Double = 0.5,
    /** The same factor for classes of arrays that may run on preemptible machines. */
    val arraySpareFactor: Double = 0.0,
    /** The capacity of the owner thread's command queue; requests beyond it are refused. */
    val queueCommands: Int = 512,
    /** How many finished jobs are cached in memory; older ones are read from the state service. */
    val finishedCache: Int = 5_000,
    /** Whether lost zones are detected and recovered from, the most urgent classes first. */
    val zoneRecovery: Boolean = false,
) {
    companion object {
        /** Reads the file at [path]; throws a [MalformedException] that names an unknown key or an invalid value. */
        fun load(path: String): OperatorSettings {
            val properties = Properties()
            try {
                File(path).inputStream().use { properties.load(it) }
            } catch (e: IOException) {
                throw MalformedException("properties file $path: ${e.message}", e)
            } catch (e: IllegalArgumentException) {
                throw MalformedException("properties file $path: ${e.message}", e)
            }
            return of(properties.stringPropertyNames().associateWith { properties.getProperty(it).trim() })
        }

        /** Returns the settings with the properties in [values], and with defaults for all others. */
        fun of(values: Map<String, String>): OperatorSettings {
            var result = OperatorSettings()
            for ((key, value) in values.toSortedMap()) result = result.with(key, value)
            return result
        }

        private fun OperatorSettings.with(key: String, value: String): OperatorSettings = when (key) {
            "fleet.keep-idle-boots" -> copy(keepIdleBoots = decimal(key, value, 0.0..1000.0))
            "fleet.spare-factor" -> copy(spareFactor = decimal(key, value, 0.0..100.0))
            "fleet.array-spare-factor" -> copy(arraySpareFactor = decimal(key, value, 0.0..100.0))
            "node.queue-commands" -> copy(queueCommands = integer(key, value, 16..100_000))
            "jobs.finished-cache" -> copy(finishedCache = integer(key, value, 0..1_000_000))
            "zones.recovery" -> copy(zoneRecovery = boolean(key, value))
            else -> throw MalformedException("unknown property '$key'")
        }

        private fun decimal(key: String, value: String, range: ClosedFloatingPointRange<Double>): Double {
            val number = value.toDoubleOrNull()
            if (number != null && number in range) return number
            val limits = "${range.start} to ${range.endInclusive}"
            throw MalformedException("property '$key': '$value' is not a number from $limits")
        }

        private fun integer(key: String, value: String, range: IntRange): Int {
            val number = value.toIntOrNull()
            if (number != null && number in range) return number
            throw MalformedException(
                "property '$key': '$value' is not a whole number from ${range.first} to ${range.last}",
            )
        }

        private fun boolean(key: String, value: String): Boolean = value.toBooleanStrictOrNull()
            ?: throw MalformedException("property '$key': '$value' is neither true nor false")
    }
}
