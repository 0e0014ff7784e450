package flaxfield.drain

import flaxfield.Samples
import flaxfield.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class FairSharesTest {
    @Test
    fun `targets match unit-by-unit filling in random small cases`() {
        val random = Random(7)
        repeat(60) {
            val demands = listOf("red", "blue", "green").map { team ->
                val demand = Capacity(0.0, random.nextInt(0, 13).toDouble())
                TeamDemand(team, demand, Samples.team(team, gpus = random.nextInt(1, 5).toDouble()))
            }
            val available = random.nextInt(1, 20)
            val targets = FairShares.targets(Capacity(100.0, available.toDouble()), demands)
            val expected = fillByUnits(available * UNITS_PER_GPU, demands)
            for ((index, demand) in demands.withIndex()) {
                assertEquals(expected[index], targets.getValue(demand.team).accelerators, 0.05, "$available $demands")
            }
        }
    }

    /** Allocates small units one by one, each to the unsatisfied team with the smallest weighted share. */
    private fun fillByUnits(units: Int, demands: List<TeamDemand>): List<Double> {
        val granted = IntArray(demands.size)
        repeat(units) {
            val next = demands.indices.filter { granted[it] < demands[it].demand.accelerators * UNITS_PER_GPU }
                .minByOrNull { (granted[it] + 1) / checkNotNull(demands[it].guarantee).gpus } ?: return@repeat
            granted[next]++
        }
        return granted.map { it.toDouble() / UNITS_PER_GPU }
    }

    @Test
    fun `a team limited by an exhausted resource leaves its unused share of the other to other teams`() {
        val demands = listOf(
            TeamDemand("cpu", Capacity(10.0, 0.0), Team("cpu", 10.0, 0.0, 10.0, 0.0)),
            TeamDemand("both", Capacity(10.0, 10.0), Team("both", 10.0, 0.0, 10.0, 0.0)),
        )
        val targets = FairShares.targets(Capacity(20.0, 4.0), demands)
        assertEquals(10.0, targets.getValue("cpu").cpus, 1e-6)
        assertEquals(4.0, targets.getValue("both").accelerators, 1e-6)
        assertEquals(0.5, TeamShare("both", Capacity(4.0, 4.0), Capacity(2.0, 4.0)).shortfall)
    }

    private companion object {
        const val UNITS_PER_GPU = 240
    }
}
