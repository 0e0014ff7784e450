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

    private fun faults(text: String) = assertThrows<FleetFileException> { parse(text) }.faults

    @Test
    fun `a file is read, with defaults for what it leaves out`() {
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
    fun `the file under deploy is a good one`() {
        val file = parse(File("deploy/fleet.json").readText())
        assertEquals(BudgetLimit.Percent(10.0), file.config.defaultBudget)
    }

    @Test
    fun `every fault is named with its path`() {
        val all = faults(
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
            assertTrue(all.any { path in it }, "$path in $all")
        }
        for ((text, path) in mapOf("[]" to "$", "{" to "not JSON", """{"version": 1}""" to "listen")) {
            assertTrue(faults(text).any { path in it }, "$text: ${faults(text)}")
        }
        val port = faults("""{"version": 1, "listen": "10.0.0.1:99999", "default_budget": {"percent": 1}}""")
        assertEquals(listOf("$.listen: '10.0.0.1:99999' is not host:port"), port)
    }
}
