package flaxfield.operator

import flaxfield.Samples
import flaxfield.drain.BudgetLimit
import flaxfield.drain.Capacity
import flaxfield.drain.RepeatPolicy
import flaxfield.settings.Objective
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.io.File

class FleetFileLoaderTest {
    private val settings = Samples.settings().copy(
        teams = mapOf("red" to Samples.team("red")),
        objectives = listOf(Objective("wait", "deed", 10.0, 0.9)),
    )

    private fun parse(text: String) = FleetFileLoader.parse(text, settings) { it }

    private fun errors(text: String) = assertThrows<FleetFileException> { parse(text) }.errors

    @Test
    fun `parses a file and applies defaults to the fields that it omits`() {
        val file = parse(
            """{"version": 1, "listen": "10.0.0.1:9443", "default_budget": {"percent": 10},
               "budgets": {"red": {"cpus": 16, "accelerators": 4.5}}, "classes": {"deed": "never"},
               "recovery_tiers": {"deed": 0}}""",
        )
        assertEquals(mapOf("deed" to 0), file.config.recoveryTiers)
        assertEquals("10.0.0.1:9443", file.listen.toString())
        assertEquals(BudgetLimit.Absolute(Capacity(16.0, 4.5)), file.config.budgets["red"])
        assertEquals(BudgetLimit.Percent(10.0), file.config.defaultBudget)
        assertEquals(RepeatPolicy.NEVER, file.config.classes["deed"])
        assertEquals(RepeatPolicy.CHECKPOINTED, file.config.defaultRepeat)
        assertEquals(2, file.config.surgeMachines)
    }

    @Test
    fun `accepts the fleet file of the deployment`() {
        val file = parse(File("deploy/fleet.json").readText())
        assertEquals(BudgetLimit.Percent(10.0), file.config.defaultBudget)
    }

    @Test
    fun `reports each error with the path of its field`() {
        val allErrors = errors(
            """{"version": 2, "listen": "here", "default_budget": {"percent": 101}, "surge_machines": -1, "colour": "red",
               "budgets": {"green": {"percent": 5}}, "classes": {"night": "any", "deed": "often"},
               "recovery_tiers": {"early": 1, "deed": 10}}""",
        )
        for (path in listOf(
            "$.version",
            "$.listen",
            "$.default_budget",
            "$.surge_machines",
            "colour",
            "$.budgets.green",
            "$.classes.night",
            "$.classes.deed",
            "$.recovery_tiers.early",
            "$.recovery_tiers.deed",
        )) {
            assertTrue(allErrors.any { path in it }, "$path in $allErrors")
        }
        for ((text, path) in mapOf("[]" to "$", "{" to "not JSON", """{"version": 1}""" to "listen")) {
            assertTrue(errors(text).any { path in it }, "$text: ${errors(text)}")
        }
        val portErrors = errors("""{"version": 1, "listen": "10.0.0.1:99999", "default_budget": {"percent": 1}}""")
        assertEquals(listOf("$.listen: '10.0.0.1:99999' is not host:port"), portErrors)
    }
}
