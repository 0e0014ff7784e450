package flaxfield.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/**
 * `serve --fleet` fails at its start if a class of the main jar names a class of the operators' jar: the class loader of
 * the main jar does not see the other one. Tests have both on one class path and would not notice.
 */
class OperatorJarTest {
    private val classes = File(OperatorJar::class.java.protectionDomain.codeSource.location.toURI())

    /** The packages that `pom.xml` puts into the operators' jar. */
    private val operatorPackages = Regex("<include>flaxfield/([a-z]+)/\\*\\*</include>")
        .findAll(File("pom.xml").readText())
        .map { "flaxfield.${it.groupValues[1]}." }
        .toList()

    private fun isOperatorClass(name: String) = operatorPackages.any(name::startsWith)

    /** Loads the classes of the main jar, as its class loader does. */
    private inner class MainJarLoader : ClassLoader(OperatorJar::class.java.classLoader) {
        override fun loadClass(name: String, resolve: Boolean): Class<*> = when {
            !name.startsWith("flaxfield.") -> super.loadClass(name, resolve)
            isOperatorClass(name) -> throw ClassNotFoundException(name)
            else -> findLoadedClass(name) ?: findClass(name)
        }

        override fun findClass(name: String): Class<*> {
            val file = File(classes, name.replace('.', '/') + ".class")
            if (!file.isFile) throw ClassNotFoundException(name)
            val bytes = file.readBytes()
            return defineClass(name, bytes, 0, bytes.size)
        }
    }

    /** The missing class that [name] declares in a field, constructor or method; null if there is none. */
    private fun missingClass(loader: ClassLoader, name: String): String? = try {
        val type = Class.forName(name, false, loader)
        type.declaredFields
        type.declaredConstructors
        type.declaredMethods
        null
    } catch (e: NoClassDefFoundError) {
        "$name: ${e.message}"
    }

    @Test
    fun `classes of the main jar declare no class of the operators' jar`() {
        assertTrue(operatorPackages.size > 1, "$operatorPackages")
        val names = File(classes, "flaxfield").walk().filter { it.extension == "class" }
            .map { it.relativeTo(classes).path.removeSuffix(".class").replace(File.separatorChar, '.') }
            .filterNot(::isOperatorClass)
            .sorted()
            .toList()
        val loader = MainJarLoader()
        assertEquals(emptyList<String>(), names.mapNotNull { missingClass(loader, it) })
    }
}
