package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Violates each invariant on purpose: the [InvariantChecker] must report it, and nothing else. */
class InvariantCheckerTest {
    private val zoneAMachine = SimMachine("h1", "big", "a", false)
    private val zoneBMachine = SimMachine("h2", "big", "b", false)
    private val preemptibleMachine = SimMachine("h3", "big", "a", true)

    private fun InvariantChecker.startAndRemove(id: String, nowS: Double) {
        taskStarted(id, 0, zoneAMachine, nowS)
        taskRemoved(id, 0, "h1")
    }

    private fun violatedInvariants(scenario: InvariantChecker.() -> Unit): List<String> =
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

    /** Keeps an accepted job pending for 100 s, although a healthy machine has [free] resources. */
    private fun InvariantChecker.waitsDespiteFree(free: Resources) {
        jobAnswered("job-1", "pending", 0.0)
        for (second in 0..100) checkWaiting(second.toDouble(), listOf(HealthyMachine(zoneAMachine, free)))
    }

    @Test
    fun `reports each violated invariant and nothing else`() {
        val table = listOf<Pair<String?, InvariantChecker.() -> Unit>>(
            null to {
                taskStarted("job-1", 0, zoneAMachine, 0.0)
                taskRemoved("job-1", 0, "h1")
                taskStarted("job-1", 0, zoneBMachine, 0.0)
            },
            "ran_twice" to {
                taskStarted("job-1", 0, zoneAMachine, 0.0)
                taskStarted("job-1", 0, zoneAMachine, 0.0)
            },
            "wrong_place" to { taskStarted("job-1", 0, preemptibleMachine, 0.0) },
            "wrong_place" to {
                taskStarted("job-1", 0, zoneAMachine, 0.0)
                taskStarted("job-1", 1, zoneBMachine, 0.0)
            },
            "wrong_place" to { taskStarted("job-2", 0, SimMachine("h", "small", "a", false), 0.0) },
            "wrong_place" to {
                taskStarted("job-2", 0, zoneAMachine, 0.0)
                taskStarted("job-2", 1, preemptibleMachine, 0.0)
                taskStarted("job-2", 2, zoneAMachine, 0.0)
            },
            "quota" to
                {
                    submitted(Samples.spec(id = "job-3"))
                    taskStarted("job-3", 0, zoneAMachine, 0.0)
                    taskStarted("job-3", 1, zoneAMachine, 0.0)
                    taskStarted("job-3", 2, zoneAMachine, 0.0)
                },
            "ran_cancelled+started_after_cancellation" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                taskStarted("job-1", 0, zoneAMachine, 11.0)
            },
            "started_after_cancellation" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                taskStarted("job-1", 0, zoneAMachine, 7.0)
            },
            "launched_after_cancellation" to {
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                launchOrdered("job-1", 0, 2.0)
            },
            null to {
                launchOrdered("job-1", 0, 2.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 3.0)
                taskStarted("job-1", 0, zoneAMachine, 5.0)
                taskRemoved("job-1", 0, "h1")
            },
            "wrong_status" to { invalidRequestAnswered("a submission without its owner", 201, setOf(400, 503)) },
            null to { invalidRequestAnswered("a submission without its owner", 400, setOf(400, 503)) },
            // A request sent before the final phase was reported may be answered with an older phase.
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
            "not_provisioned" to {
                jobAnswered("job-1", "pending", 0.0)
                val machine = listOf(HealthyMachine(zoneAMachine, Resources(4.0, 1.0, 16.0)))
                for (second in 0..250) checkProvisioning(second.toDouble(), machine, machine)
            },
            // The job is bound to one zone, and no zone has enough machines.
            null to {
                jobAnswered("job-1", "pending", 0.0)
                val resources = Resources(4.0, 1.0, 16.0)
                submitted(Samples.spec(id = "job-1", jobKind = JobKind.GANG, taskCount = 2, preemptible = false, sameZone = true))
                for (second in 0..250) {
                    val healthy = listOf(HealthyMachine(zoneAMachine, resources))
                    checkProvisioning(second.toDouble(), healthy, listOf(HealthyMachine(zoneBMachine, resources)))
                }
            },
            "waits" to { waitsDespiteFree(Resources(8.0, 2.0, 32.0)) },
            null to { waitsDespiteFree(Resources(1.0, 0.0, 4.0)) },
            // The team is at its limit.
            null to {
                submitted(Samples.spec(id = "job-3"))
                for (index in 0..1) taskStarted("job-3", index, zoneAMachine, 0.0)
                waitsDespiteFree(Resources(8.0, 2.0, 32.0))
            },
            "ran_cancelled" to {
                taskStarted("job-1", 0, zoneAMachine, 0.0)
                cancelRequested("job-1")
                jobAnswered("job-1", "aborted", 0.0)
                checkCancelled(11.0)
            },
            null to
                {
                    taskStarted("job-1", 0, zoneAMachine, 0.0)
                    cancelRequested("job-1")
                    jobAnswered("job-1", "aborted", 0.0)
                    taskRemoved("job-1", 0, "h1")
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
                startAndRemove("job-1", 1.0)
                for (index in 0..1) taskCompleted("job-1", index)
                jobAnswered("job-1", "done", 9.0)
                checkAnswered(900.0)
                checkFairness()
            },
            "largest_started_late" to {
                jobAnswered("job-1", "running", 0.0)
                startAndRemove("job-1", 241.0)
                for (index in 0..1) taskCompleted("job-1", index)
                jobAnswered("job-1", "done", 260.0)
                checkFairness()
            },
        )
        // A job that never starts is reported four times: for its team, its class and the largest jobs of its class,
        // and as started late.
        val starvation: InvariantChecker.() -> Unit = {
            jobAnswered("job-1", "pending", 0.0)
            checkFairness()
        }
        assertEquals(listOf("starved_group", "starved_group", "starved_group", "largest_started_late"), violatedInvariants(starvation))
        for ((i, row) in table.withIndex()) {
            assertEquals(
                row.first?.split('+').orEmpty(),
                violatedInvariants(row.second),
                "row $i",
            )
        }
    }
}
