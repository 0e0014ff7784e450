package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Each rule is broken on purpose here: the [InvariantChecker] must report it, and nothing else. */
class InvariantCheckerTest {
    private val north = SimMachine("h1", "big", "a", false)
    private val south = SimMachine("h2", "big", "b", false)
    private val spot = SimMachine("h3", "big", "a", true)

    private fun InvariantChecker.startAndLeave(id: String, nowS: Double) {
        taskStarted(id, 0, north, nowS)
        taskLeft(id, 0, "h1")
    }

    private fun rulesViolated(scenario: InvariantChecker.() -> Unit): List<String> =
        InvariantChecker(mapOf("red" to 2.0), 10.0, 6.0).apply {
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
        }.also(scenario).violations.map { it.substringBefore(':') }

    /** A job is accepted and starts no task for 100 s, beside a healthy machine with [free] resources. */
    private fun InvariantChecker.waitsBeside(free: Resources) {
        jobAnswered("job-1", "pending", 0.0)
        for (second in 0..100) checkWaiting(second.toDouble(), listOf(HealthyMachine(north, free)))
    }

    @Test
    fun `each broken rule is found, and nothing else`() {
        val table = listOf<Pair<String?, InvariantChecker.() -> Unit>>(
            null to {
                taskStarted("job-1", 0, north, 0.0)
                taskLeft("job-1", 0, "h1")
                taskStarted("job-1", 0, south, 0.0)
            },
            "ran_twice" to {
                taskStarted("job-1", 0, north, 0.0)
                taskStarted("job-1", 0, north, 0.0)
            },
            "wrong_place" to { taskStarted("job-1", 0, spot, 0.0) },
            "wrong_place" to {
                taskStarted("job-1", 0, north, 0.0)
                taskStarted("job-1", 1, south, 0.0)
            },
            "wrong_place" to { taskStarted("job-2", 0, SimMachine("h", "small", "a", false), 0.0) },
            "wrong_place" to {
                taskStarted("job-2", 0, north, 0.0)
                taskStarted("job-2", 1, spot, 0.0)
                taskStarted("job-2", 2, north, 0.0)
            },
            "quota" to
                {
                    submitted(Samples.spec(id = "job-3"))
                    taskStarted("job-3", 0, north, 0.0)
                    taskStarted("job-3", 1, north, 0.0)
                    taskStarted("job-3", 2, north, 0.0)
                },
            "ran_cancelled+started_cancelled" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                taskStarted("job-1", 0, north, 11.0)
            },
            "started_cancelled" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                taskStarted("job-1", 0, north, 7.0)
            },
            "ordered_cancelled" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                launchOrdered("job-1", 0, 2.0)
            },
            null to {
                launchOrdered("job-1", 0, 2.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 3.0)
                taskStarted("job-1", 0, north, 5.0)
                taskLeft("job-1", 0, "h1")
            },
            "accepted_odd" to { invalidRequestAnswered("a submission without its owner", 201, setOf(400, 503)) },
            null to { invalidRequestAnswered("a submission without its owner", 400, setOf(400, 503)) },
            // Asked for before its user was told that it is over, answered after: no answer is older than what was
            // told.
            null to {
                jobAnswered("job-1", "running", 0.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 1.0, before = "running")
                jobAnswered("job-1", "running", 1.1, before = "running")
            },
            "went_back" to {
                jobAnswered("job-1", "running", 0.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 1.0, before = "running")
                jobAnswered("job-1", "running", 1.1, before = "aborted")
            },
            "waits" to { waitsBeside(Resources(8.0, 2.0, 32.0)) },
            null to { waitsBeside(Resources(1.0, 0.0, 4.0)) },
            // Its team is at its limit.
            null to {
                submitted(Samples.spec(id = "job-3"))
                for (index in 0..1) taskStarted("job-3", index, north, 0.0)
                waitsBeside(Resources(8.0, 2.0, 32.0))
            },
            "ran_cancelled" to {
                taskStarted("job-1", 0, north, 0.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                checkCancelled(11.0)
            },
            null to
                {
                    taskStarted("job-1", 0, north, 0.0)
                    cancelRequested("job-1")
                    jobAnswered("job-1", "aborted", 0.0)
                    taskLeft("job-1", 0, "h1")
                    checkCancelled(11.0)
                },
            "forgotten" to {
                jobAnswered("job-1", "pending", 0.0)
                jobAnswered("job-1", null, 1.0)
            },
            "invented" to { jobAnswered("job-9", "pending", 0.0) },
            null to { jobAnswered("job-9", null, 0.0) },
            "not_done" to {
                taskCompleted("job-1", 0)
                jobAnswered("job-1", "done", 0.0)
            },
            "went_back" to
                {
                    taskCompleted("job-1", 0)
                    taskCompleted("job-1", 1)
                    jobAnswered("job-1", "done", 0.0)
                    jobAnswered("job-1", "running", 1.0)
                },
            "went_back" to { jobAnswered("job-1", "aborted", 0.0) },
            "forgotten" to {
                jobAnswered("job-1", "running", 0.0)
                jobAnswered("job-2", "running", 70.0)
                checkAnswered(76.0)
            },
            null to {
                jobAnswered("job-1", "running", 0.0)
                checkAnswered(75.0)
                startAndLeave("job-1", 1.0)
                for (index in 0..1) taskCompleted("job-1", index)
                jobAnswered("job-1", "done", 9.0)
                checkAnswered(900.0)
                checkServed()
            },
            "late_largest" to {
                jobAnswered("job-1", "running", 0.0)
                startAndLeave("job-1", 241.0)
                for (index in 0..1) taskCompleted("job-1", index)
                jobAnswered("job-1", "done", 260.0)
                checkServed()
            },
        )
        // A class, a team and its largest job that are never served are three findings, and its start a fourth.
        val starved: InvariantChecker.() -> Unit = {
            jobAnswered("job-1", "pending", 0.0)
            checkServed()
        }
        assertEquals(listOf("not_served", "not_served", "not_served", "late_largest"), rulesViolated(starved))
        for ((i, row) in table.withIndex()) {
            assertEquals(
                row.first?.split('+').orEmpty(),
                rulesViolated(row.second),
                "row $i",
            )
        }
    }
}
