package flaxfield.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import picocli.CommandLine.ParameterException

class CommandLineTest {
    @Test
    fun `accepts serve with its options and rejects missing, incomplete and unknown arguments`() {
        val serve = commandLine().parseArgs("serve", "--properties", "p", "--config", "f").subcommand()
        assertEquals("f", serve.matchedOptionValue("--config", ""))
        for (args in listOf(
            listOf("serve"),
            listOf("serve", "--config"),
            listOf("start"),
            listOf("serve", "--config", "f", "--what"),
        )) {
            assertThrows<ParameterException>(args.toString()) { commandLine().parseArgs(*args.toTypedArray()) }
        }
    }
}
