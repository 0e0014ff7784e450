package flaxfield.zones

import flaxfield.Samples
import flaxfield.drain.Capacity
import flaxfield.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class FairSharesTest {
    @Test
    fun `targets are those of an exhaustive search on small cases`() {
        val random = Random(7)
        repeat(60) {
            val wants = listOf("red", "blue", "green").map { team ->
                val want = Capacity(0.0, random.nextInt(0, 13).toDouble())
                TeamWant(team, want, Samples.team(team, gpus = random.nextInt(1, 5).toDouble()))
            }
            val available = random.nextInt(1, 20)
            val targets = FairShares.targets(Capacity(100.0, available.toDouble()), wants)
            val found = search(available * UNITS_PER_GPU, wants)
            for ((index, want) in wants.withIndex()) {
                assertEquals(found[index], targets.getValue(want.team).accelerators, 0.05, "$available $wants")
            }
        }
    }

    /** Hands out small units one by one, each to the team with the smallest weighted share that still wants more. */
    private fun search(units: Int, wants: List<TeamWant>): List<Double> {
        val granted = IntArray(wants.size)
        repeat(units) {
            val next = wants.indices.filter { granted[it] < wants[it].want.accelerators * UNITS_PER_GPU }
                .minByOrNull { (granted[it] + 1) / checkNotNull(wants[it].guarantee).gpus } ?: return@repeat
            granted[next]++
        }
        return granted.map { it.toDouble() / UNITS_PER_GPU }
    }

    @Test
    fun `both resources bind, and a team that is blocked leaves the rest to others`() {
        val wants = listOf(
            TeamWant("cpu", Capacity(10.0, 0.0), Team("cpu", 10.0, 0.0, 10.0, 0.0)),
            TeamWant("both", Capacity(10.0, 10.0), Team("both", 10.0, 0.0, 10.0, 0.0)),
        )
        val targets = FairShares.targets(Capacity(20.0, 4.0), wants)
        assertEquals(10.0, targets.getValue("cpu").cpus, 1e-6)
        assertEquals(4.0, targets.getValue("both").accelerators, 1e-6)
        assertEquals(0.5, TeamShare("both", Capacity(4.0, 4.0), Capacity(2.0, 4.0)).shortfall)
    }

    private companion object {
        const val UNITS_PER_GPU = 240
    }
}
