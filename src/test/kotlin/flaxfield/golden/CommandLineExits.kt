package flaxfield.golden

import flaxfield.golden.GoldenCases.textOnly
import java.io.File
import java.util.concurrent.TimeUnit

/** The exit status and the output of the program, run as a separate process with various arguments and invalid files. */
object CommandLineExits {
    private val commandLines = listOf(
        commandLine("no-command"),
        commandLine("unknown-option", "serve", "--what"),
        commandLine("no-settings-file", "serve", "--config", "does/not/exist"),
        commandLine(
            "bad-settings-file",
            "serve",
            "--config",
            writeFile("bad.json", SettingsFiles.settingsText.replace("12.0", "0")),
        ),
        commandLine(
            "unknown-property",
            "serve",
            "--config",
            validSettings,
            "--properties",
            writeFile("bad.properties", "fleet.spare = 1\n"),
        ),
        commandLine("bad-fleet-file", "serve", "--config", validSettings, "--fleet", writeFile("bad-fleet.json", "{\"version\": 1}")),
        commandLine("version", "--version"),
        commandLine("help", "--help"),
        commandLine("serve-help", "serve", "--help"),
    )

    private val validSettings get() = writeFile("good.json", SettingsFiles.settingsText)

    private fun writeFile(name: String, text: String): String {
        val directory = File("target/golden").apply { mkdirs() }
        return File(directory, name).apply { writeText(text) }.path
    }

    private fun commandLine(name: String, vararg arguments: String) = textOnly("$name.encode-only.txt") {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process = ProcessBuilder(
            listOf(java, "-cp", System.getProperty("java.class.path"), "flaxfield.cli.MainKt") + arguments,
        ).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText().lines().filterNot { CLASS_DATA_WARNING in it }
        check(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) { "the process did not exit within $TIMEOUT_S s" }
        "exit=${process.exitValue()}\n" + output.joinToString("\n")
    }

    /** Identifies the warning about a missing class-data archive, which tests run without. */
    private const val CLASS_DATA_WARNING = "WARN"
    private const val TIMEOUT_S = 20L

    val suite = GoldenSuite("exits", commandLines)
}
