package flaxfield.cli

import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import java.io.File
import java.net.URLClassLoader

/**
 * The entry point of the operators' jar, which holds the classes that only fleet files and operators' commands need.
 */
interface OperatorEntry {
    /** Runs an operator's command and returns the exit code of the process. */
    fun command(arguments: Array<String>): Int

    /** Runs a controller with the fleet file at [fleet] until the process is terminated. */
    fun serve(settings: Settings, operator: OperatorSettings, incarnation: String, fleet: String): Nothing
}

/**
 * Loads the jar of the operators' classes and their libraries from the directory of the program's own jar. It is not on
 * the class path because the JVM reads the central directory of each jar there at startup, and that of this jar is
 * long.
 */
object OperatorJar {
    private const val FILE_NAME = "flaxfield-operator.jar"
    private const val ENTRY_CLASS = "flaxfield.operator.OperatorMain"

    /** Loads the operators' jar and creates an instance of its entry point. */
    fun loadEntryPoint(): OperatorEntry {
        val loader = operatorClassLoader()
        Thread.currentThread().contextClassLoader = loader
        return Class.forName(ENTRY_CLASS, true, loader).getDeclaredConstructor().newInstance() as OperatorEntry
    }

    /** Returns the class loader of the operators' jar. In tests the classes are on the class path instead. */
    private fun operatorClassLoader(): ClassLoader {
        val own = OperatorJar::class.java.classLoader
        val codeSource = File(OperatorJar::class.java.protectionDomain.codeSource.location.toURI())
        if (!codeSource.isFile) return own
        return URLClassLoader(arrayOf(File(codeSource.parentFile, FILE_NAME).toURI().toURL()), own)
    }
}
