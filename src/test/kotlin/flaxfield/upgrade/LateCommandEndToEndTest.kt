package flaxfield.upgrade

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.training.EnvironmentScale
import flaxfield.training.LoopbackController
import flaxfield.training.LoopbackEnvironment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/**
 * Guards against a start command that takes effect a second time, on real controller processes: tasks are moved,
 * cancelled, end, and a controller and a machine restart at once, while copies of all direct commands and of all reports
 * arrive again, up to 10 s late.
 */
class LateCommandEndToEndTest {
    private val nodes = listOf(LoopbackController("n-0", "a"), LoopbackController("n-1", "b"), LoopbackController("n-2", "a"))
    private val environment = LoopbackEnvironment(nodes, EnvironmentScale(machinesPerZone = 6))
    private val controllers = ControllerProcesses(environment, nodes, File("target/late-commands"))
    private val build = Build("current", System.getProperty("java.class.path"))

    private fun job(number: Int, runtimeS: Double): JobSpec = Samples.spec(
        id = "job-$number",
        taskCount = 3,
        priority = Priority.STANDARD,
        preemptible = false,
    ).copy(expectedRuntimeS = runtimeS, checkpointDurationS = 1.0, imageGb = 0.1)

    private fun await(event: String, condition: () -> Boolean) {
        val untilNs = System.nanoTime() + AWAIT_TIMEOUT_S * 1_000_000_000L
        while (!condition()) {
            check(System.nanoTime() < untilNs) { "no $event within $AWAIT_TIMEOUT_S s" }
            Thread.sleep(200)
        }
    }

    @Test
    fun `a late copy of a command starts no task again`() {
        environment.copiesMessages = true
        environment.start()
        try {
            for (node in nodes) controllers.start(node, build)
            val specs = (0..5).map { job(it, if (it < 2) ENDING_RUNTIME_S else LONG_RUNTIME_S) }
            environment.post { for ((n, spec) in specs.withIndex()) environment.submit(spec, n) }
            await("start of all tasks") { environment.taskStarts() >= specs.size * 3 }
            environment.post { environment.cancelJob(nodes[0], "job-2") }
            environment.onBusyWorkers { it.first().terminationNoticeS = NOTICE_S }
            Thread.sleep(2_000)
            val leader = nodes.first { it.name == environment.leader() }
            controllers.kill(leader)
            controllers.start(leader, build)
            environment.onBusyWorkers { it.last().restart() }
            Thread.sleep(2_000)
            environment.post { environment.cancelJob(nodes[1], "job-3") }
            Thread.sleep(LATE_COPIES_MS)
            environment.post { for (n in 0..3) environment.readJob(nodes[n % 3], "job-$n") }
            await("final phases") { (0..3).all { environment.reportedPhase("job-$it") in setOf("done", "aborted") } }
        } finally {
            controllers.killAll()
        }
        assertEquals(emptyList<String>(), environment.violations())
        assertEquals(emptyList<String>(), environment.directLaunches)
        assertTrue(environment.copiedCommands > 0, "no direct command was copied")
    }

    private companion object {
        const val AWAIT_TIMEOUT_S = 60L
        const val ENDING_RUNTIME_S = 4.0
        const val LONG_RUNTIME_S = 600.0
        const val NOTICE_S = 60.0
        const val LATE_COPIES_MS = 12_000L
    }
}
