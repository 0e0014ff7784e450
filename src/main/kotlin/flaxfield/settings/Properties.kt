package flaxfield.settings

import flaxfield.codec.MalformedException
import java.io.File
import java.io.IOException
import java.util.Properties

/** Operators' own settings: a Java-style properties file, checked key by key at the start. */
data class OperatorSettings(
    /** Idle machines are kept this many boot times before they are returned. */
    val keepIdleBoots: Double = 0.8,
    /** Spare machines per gang class, as a multiple of what the class asks for in one boot and fetch. */
    val spareFactor: Double = 0.5,
    /** The same for classes of arrays that may use cheap machines. */
    val arraySpareFactor: Double = 0.0,
    /** Commands the owner thread holds before the first stage refuses. */
    val queueCommands: Int = 512,
    /** Finished jobs remembered in memory; older ones are read from the state service. */
    val finishedCache: Int = 5_000,
    /** Lost zones are noticed and recovered from in the order of need. */
    val zoneRecovery: Boolean = false,
) {
    companion object {
        /** Reads [path]; an unknown key or a bad value is named and refused. */
        fun load(path: String): OperatorSettings {
            val properties = Properties()
            try {
                File(path).inputStream().use { properties.load(it) }
            } catch (e: IOException) {
                throw MalformedException("properties file $path: ${e.message}")
            } catch (e: IllegalArgumentException) {
                throw MalformedException("properties file $path: ${e.message}")
            }
            return of(properties.stringPropertyNames().associateWith { properties.getProperty(it).trim() })
        }

        fun of(values: Map<String, String>): OperatorSettings {
            var result = OperatorSettings()
            for ((key, value) in values.toSortedMap()) {
                result = when (key) {
                    "fleet.keep-idle-boots" -> result.copy(keepIdleBoots = decimal(key, value, 0.0, 1000.0))
                    "fleet.spare-factor" -> result.copy(spareFactor = decimal(key, value, 0.0, 100.0))
                    "fleet.array-spare-factor" -> result.copy(arraySpareFactor = decimal(key, value, 0.0, 100.0))
                    "node.queue-commands" -> result.copy(queueCommands = whole(key, value, 16, 100_000))
                    "jobs.finished-cache" -> result.copy(finishedCache = whole(key, value, 0, 1_000_000))
                    "zones.recovery" -> result.copy(zoneRecovery = flag(key, value))
                    else -> throw MalformedException("unknown property '$key'")
                }
            }
            return result
        }

        private fun decimal(key: String, value: String, least: Double, most: Double): Double =
            value.toDoubleOrNull()?.takeIf { it in least..most }
                ?: throw MalformedException("property '$key': '$value' is not a number from $least to $most")

        private fun flag(key: String, value: String): Boolean = value.toBooleanStrictOrNull()
            ?: throw MalformedException("property '$key': '$value' is neither true nor false")

        private fun whole(key: String, value: String, least: Int, most: Int): Int =
            value.toIntOrNull()?.takeIf { it in least..most }
                ?: throw MalformedException("property '$key': '$value' is not a whole number from $least to $most")
    }
}
