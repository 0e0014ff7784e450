package flaxfield.cli

import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import java.io.File
import java.net.URLClassLoader

/** The entry point of the operators' jar: everything that only a fleet file or an operator's command needs. */
interface OperatorEntry {
    /** Runs an operator's command, and returns the exit code of the process. */
    fun command(arguments: Array<String>): Int

    /** Runs a controller with the fleet file at [fleet] until the process ends. */
    fun serve(settings: Settings, operator: OperatorSettings, incarnation: String, fleet: String): Nothing
}

/**
 * Loads the jar of the operators' classes and their libraries, which is in the same directory as the program's own. It
 * is not on the class path, since each start reads the directory of every jar there, and this jar's is long.
 */
object OperatorJar {
    private const val FILE_NAME = "flaxfield-operator.jar"
    private const val ENTRY_CLASS = "flaxfield.operator.OperatorMain"

    /** Loads the operators' jar and creates its entry point. */
    fun entry(): OperatorEntry {
        val loader = loader()
        Thread.currentThread().contextClassLoader = loader
        return Class.forName(ENTRY_CLASS, true, loader).getDeclaredConstructor().newInstance() as OperatorEntry
    }

    /** Where the program runs from a directory, as in tests, the operators' classes are on the class path. */
    private fun loader(): ClassLoader {
        val own = OperatorJar::class.java.classLoader
        val codeSource = File(OperatorJar::class.java.protectionDomain.codeSource.location.toURI())
        if (!codeSource.isFile) return own
        return URLClassLoader(arrayOf(File(codeSource.parentFile, FILE_NAME).toURI().toURL()), own)
    }
}
