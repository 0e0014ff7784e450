package flaxfield.cli

import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import java.io.File
import java.net.URLClassLoader

/** What the operators' jar offers: all that only a fleet file or an operator's command needs. */
interface OperatorEntry {
    /** Runs an operator's command; the process's exit code. */
    fun command(arguments: Array<String>): Int

    /** Runs a controller with the fleet file at [fleet] until the process ends. */
    fun serve(settings: Settings, operator: OperatorSettings, incarnation: String, fleet: String): Nothing
}

/**
 * The jar beside this program's own that holds the operators' parts and their libraries. It is not on the class path: a
 * start without a fleet file reads the directory of every jar there, and this one's is twice as long as its own.
 */
object OperatorJar {
    private const val FILE = "flaxfield-operator.jar"
    private const val ENTRY = "flaxfield.operator.OperatorMain"

    /** The entry of the operators' jar, which is loaded by this. */
    fun entry(): OperatorEntry {
        val loader = loader()
        Thread.currentThread().contextClassLoader = loader
        return Class.forName(ENTRY, true, loader).getDeclaredConstructor().newInstance() as OperatorEntry
    }

    /** From a directory of classes, as tests run, the parts are on the class path already. */
    private fun loader(): ClassLoader {
        val own = OperatorJar::class.java.classLoader
        val place = File(OperatorJar::class.java.protectionDomain.codeSource.location.toURI())
        if (!place.isFile) return own
        return URLClassLoader(arrayOf(File(place.parentFile, FILE).toURI().toURL()), own)
    }
}
