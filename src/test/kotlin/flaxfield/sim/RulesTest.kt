package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The simulation is worth what its checks are: each rule is broken here on purpose, and must be found. */
class RulesTest {
    private val north = Rules.Place("h1", "big", "a", false)
    private val south = Rules.Place("h2", "big", "b", false)
    private val cheap = Rules.Place("h3", "big", "a", true)

    private fun Rules.begun(id: String, nowS: Double) {
        starts(id, 0, north, nowS)
        leaves(id, 0, "h1")
    }

    private fun broken(act: Rules.() -> Unit): List<String> = Rules(mapOf("red" to 2.0), 10.0, 6.0).apply {
        submitted(Samples.spec(id = "job-1", taskCount = 2, preemptible = false, sameZone = true))
        submitted(
            Samples.spec(
                id = "job-2",
                taskCount = 4,
                machineTypes = setOf("big"),
                spreadAcrossZones = true,
                team = "blue",
            ),
        )
    }.also(act).broken.map { it.substringBefore(':') }

    /** A job is accepted and begins nothing for 100 s, beside a machine with [free] room. */
    private fun Rules.waitsBeside(free: Resources) {
        answered("job-1", "pending", 0.0)
        for (s in 0..100) checkWaiting(s.toDouble(), listOf(Rules.PlacementCandidate(north, free)))
    }

    @Test
    fun `each broken rule is found, and nothing else`() {
        val table = listOf<Pair<String?, Rules.() -> Unit>>(
            null to {
                starts("job-1", 0, north, 0.0)
                leaves("job-1", 0, "h1")
                starts("job-1", 0, south, 0.0)
            },
            "ran_twice" to {
                starts("job-1", 0, north, 0.0)
                starts("job-1", 0, north, 0.0)
            },
            "wrong_place" to { starts("job-1", 0, cheap, 0.0) },
            "wrong_place" to {
                starts("job-1", 0, north, 0.0)
                starts("job-1", 1, south, 0.0)
            },
            "wrong_place" to { starts("job-2", 0, Rules.Place("h", "small", "a", false), 0.0) },
            "wrong_place" to {
                starts("job-2", 0, north, 0.0)
                starts("job-2", 1, cheap, 0.0)
                starts("job-2", 2, north, 0.0)
            },
            "quota" to
                {
                    submitted(Samples.spec(id = "job-3"))
                    starts("job-3", 0, north, 0.0)
                    starts("job-3", 1, north, 0.0)
                    starts("job-3", 2, north, 0.0)
                },
            "ran_cancelled+started_cancelled" to {
                cancelAsked("job-1")
                answered("job-1", "aborted", 0.0)
                starts("job-1", 0, north, 11.0)
            },
            "started_cancelled" to {
                cancelAsked("job-1")
                answered("job-1", "aborted", 0.0)
                starts("job-1", 0, north, 7.0)
            },
            "ordered_cancelled" to {
                cancelAsked("job-1")
                answered("job-1", "aborted", 0.0)
                ordered("job-1", 0, 2.0)
            },
            null to {
                ordered("job-1", 0, 2.0)
                cancelAsked("job-1")
                answered("job-1", "aborted", 3.0)
                starts("job-1", 0, north, 5.0)
                leaves("job-1", 0, "h1")
            },
            "accepted_odd" to { oddAnswer("a submission without its owner", 201, setOf(400, 503)) },
            null to { oddAnswer("a submission without its owner", 400, setOf(400, 503)) },
            // Asked for before its user was told that it is over, answered after: no answer is older than what was
            // told.
            null to {
                answered("job-1", "running", 0.0)
                cancelAsked("job-1")
                answered("job-1", "aborted", 1.0, before = "running")
                answered("job-1", "running", 1.1, before = "running")
            },
            "went_back" to {
                answered("job-1", "running", 0.0)
                cancelAsked("job-1")
                answered("job-1", "aborted", 1.0, before = "running")
                answered("job-1", "running", 1.1, before = "aborted")
            },
            "waits" to { waitsBeside(Resources(8.0, 2.0, 32.0)) },
            null to { waitsBeside(Resources(1.0, 0.0, 4.0)) },
            // Its team is at its limit.
            null to {
                submitted(Samples.spec(id = "job-3"))
                for (t in 0..1) starts("job-3", t, north, 0.0)
                waitsBeside(Resources(8.0, 2.0, 32.0))
            },
            "ran_cancelled" to {
                starts("job-1", 0, north, 0.0)
                cancelAsked("job-1")
                answered("job-1", "aborted", 0.0)
                check(11.0)
            },
            null to
                {
                    starts("job-1", 0, north, 0.0)
                    cancelAsked("job-1")
                    answered("job-1", "aborted", 0.0)
                    leaves("job-1", 0, "h1")
                    check(11.0)
                },
            "forgotten" to {
                answered("job-1", "pending", 0.0)
                answered("job-1", null, 1.0)
            },
            "invented" to { answered("job-9", "pending", 0.0) },
            null to { answered("job-9", null, 0.0) },
            "not_done" to {
                completes("job-1", 0)
                answered("job-1", "done", 0.0)
            },
            "went_back" to
                {
                    completes("job-1", 0)
                    completes("job-1", 1)
                    answered("job-1", "done", 0.0)
                    answered("job-1", "running", 1.0)
                },
            "went_back" to { answered("job-1", "aborted", 0.0) },
            "forgotten" to {
                answered("job-1", "running", 0.0)
                answered("job-2", "running", 70.0)
                checkKnown(76.0)
            },
            null to {
                answered("job-1", "running", 0.0)
                checkKnown(75.0)
                begun("job-1", 1.0)
                for (t in 0..1) completes("job-1", t)
                answered("job-1", "done", 9.0)
                checkKnown(900.0)
                checkServed()
            },
            "late_largest" to {
                answered("job-1", "running", 0.0)
                begun("job-1", 241.0)
                for (t in 0..1) completes("job-1", t)
                answered("job-1", "done", 260.0)
                checkServed()
            },
        )
        // A class, a team and its largest job that are never served are three findings, and its start a fourth.
        val starved: Rules.() -> Unit = {
            answered("job-1", "pending", 0.0)
            checkServed()
        }
        assertEquals(listOf("not_served", "not_served", "not_served", "late_largest"), broken(starved))
        for ((i, row) in table.withIndex()) assertEquals(row.first?.split('+').orEmpty(), broken(row.second), "row $i")
    }
}
