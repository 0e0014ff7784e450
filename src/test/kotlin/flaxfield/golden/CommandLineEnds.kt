package flaxfield.golden

import flaxfield.golden.GoldenCases.textOnly
import java.io.File
import java.util.concurrent.TimeUnit

/** How the program ends on bad arguments and bad files: its exit status and what it prints, by a process of its own. */
object CommandLineEnds {
    private val ends = listOf(
        end("no-command"),
        end("unknown-option", "serve", "--what"),
        end("no-settings-file", "serve", "--config", "does/not/exist"),
        end(
            "bad-settings-file",
            "serve",
            "--config",
            file("bad.json", SettingsFiles.settingsText.replace("12.0", "0")),
        ),
        end("unknown-property", "serve", "--config", good, "--properties", file("bad.properties", "fleet.spare = 1\n")),
        end("bad-fleet-file", "serve", "--config", good, "--fleet", file("bad-fleet.json", "{\"version\": 1}")),
        end("version", "--version"),
        end("help", "--help"),
        end("serve-help", "serve", "--help"),
    )

    private val good get() = file("good.json", SettingsFiles.settingsText)

    private fun file(name: String, text: String): String {
        val directory = File("target/golden").apply { mkdirs() }
        return File(directory, name).apply { writeText(text) }.path
    }

    private fun end(name: String, vararg arguments: String) = textOnly("$name.encode-only.txt") {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process = ProcessBuilder(
            listOf(java, "-cp", System.getProperty("java.class.path"), "flaxfield.cli.MainKt") + arguments,
        )
            .redirectErrorStream(true)
            .start()
        val output = process.inputStream.bufferedReader().readText().lines().filterNot { CLASS_DATA_WARNING in it }
        check(process.waitFor(LIMIT_S, TimeUnit.SECONDS)) { "it did not end" }
        "exit=${process.exitValue()}\n" + output.joinToString("\n")
    }

    /** Told where the program starts without its archive of classes, as tests do. */
    private const val CLASS_DATA_WARNING = "WARN"
    private const val LIMIT_S = 20L

    val suite = GoldenSuite("ends", ends)
}
