package flaxfield.operator

import com.google.protobuf.util.JsonFormat
import flaxfield.Samples
import flaxfield.client.ExitCode
import flaxfield.client.OperatorCommands
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.operator.v1.BudgetList
import flaxfield.operator.v1.DrainList
import flaxfield.operator.v1.DrainReply
import flaxfield.operator.v1.JobExplanation
import flaxfield.operator.v1.MachineList
import flaxfield.operator.v1.ZoneList
import flaxfield.training.EnvironmentScale
import flaxfield.training.LoopbackController
import flaxfield.training.LoopbackEnvironment
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import com.google.protobuf.Message as ProtoMessage

/** Runs the client's commands against three controllers in this process; their external services are on loopback. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class OperatorEndToEndTest {
    private val nodes = listOf(LoopbackController("n-0", "a"), LoopbackController("n-1", "b"), LoopbackController("n-2", "a"))
    private val environment = LoopbackEnvironment(nodes, EnvironmentScale(machinesPerZone = 6, teams = listOf("red", "blue")))

    private class Result(val code: Int, val out: String, val err: String, val ms: Long)

    @BeforeAll
    fun start() {
        for (node in nodes) {
            val settings = environment.settingsFile(node)
            val fleet = LoopbackEnvironment.temporaryFile(
                """{"version": 1, "listen": "127.0.0.1:${node.operatorPort}", "default_budget": {"percent": 50},
                   "budgets": {"red": {"cpus": 8, "accelerators": 2}}, "classes": {"class": "any"}}""",
            )
            val run = Runnable { flaxfield.cli.main(arrayOf("serve", "--config", settings.path, "--fleet", fleet.path)) }
            Thread(run, node.name).apply { isDaemon = true }.start()
        }
        environment.start()
        environment.post { for (n in 1..6) environment.submit(job(n), n) }
        await("two task starts per job") { environment.taskStarts() >= 12 }
        await("publication of all fleet files") { client("budget", "list").code == ExitCode.OK.number }
    }

    @AfterAll
    fun restoreStateService() = environment.outage(false)

    private fun job(number: Int): JobSpec = Samples.spec(
        id = "job-$number",
        taskCount = 3,
        priority = Priority.STANDARD,
        team = if (number % 2 == 0) "red" else "blue",
        preemptible = false,
    ).copy(expectedRuntimeS = 600.0, checkpointDurationS = 1.0, imageGb = 0.1)

    private fun await(event: String, condition: () -> Boolean) {
        val untilNs = System.nanoTime() + AWAIT_TIMEOUT_S * 1_000_000_000L
        while (!condition()) {
            check(System.nanoTime() < untilNs) { "no $event within $AWAIT_TIMEOUT_S s" }
            Thread.sleep(200)
        }
    }

    /** Runs a command in this process against the controllers [targets]. */
    private fun client(vararg words: String, targets: List<LoopbackController> = nodes): Result {
        val endpoints = targets.flatMap { listOf("--endpoint", "127.0.0.1:${it.operatorPort}") }
        return run(words.toList() + endpoints)
    }

    private fun run(words: List<String>): Result {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val originalStreams = System.out to System.err
        System.setOut(PrintStream(out, true))
        System.setErr(PrintStream(err, true))
        val startNs = System.nanoTime()
        try {
            val code = OperatorCommands.run(words.toTypedArray())
            return Result(code, out.toString(), err.toString(), (System.nanoTime() - startNs) / 1_000_000)
        } finally {
            System.setOut(originalStreams.first)
            System.setErr(originalStreams.second)
        }
    }

    private fun <B : ProtoMessage.Builder> parseJson(result: Result, into: B): B {
        assertEquals(ExitCode.OK.number, result.code, result.err)
        JsonFormat.parser().merge(result.out, into)
        return into
    }

    @Test
    @Order(1)
    fun `all controllers give the same response at the same revision within a second`() {
        val machines = nodes.map { node ->
            parseJson(client("machines", "list", "--output", "json", targets = listOf(node)), MachineList.newBuilder())
        }
        val sameRevision = machines.groupBy { it.revision }.values
        for (same in sameRevision) assertEquals(1, same.map { it.build() }.distinct().size)
        assertTrue(machines.all { it.machinesCount > 0 })
        val newest = machines.maxOf { it.revision }
        val result = client("budget", "list", "--output", "json", "--at-least", newest.toString())
        val budgets = parseJson(result, BudgetList.newBuilder())
        assertTrue(budgets.revision >= newest)
        assertEquals(listOf("blue", "red"), budgets.budgetsList.map { it.team })
        assertEquals(8.0, budgets.budgetsList.first { it.team == "red" }.allowed.cpus)
        assertTrue(result.ms < MAX_COMMAND_MS, "${result.ms} ms")
        val zones = nodes.map { parseJson(client("zone", "list", "--output", "json", targets = listOf(it)), ZoneList.newBuilder()) }
        assertTrue(zones.all { z -> z.zonesList.map { "${it.name} ${it.state}" } == listOf("a healthy", "b healthy") }, "$zones")
        for (same in zones.groupBy { it.revision }.values) assertEquals(1, same.map { it.build() }.distinct().size)
        val explained = parseJson(client("explain", "job", "job-1", "--output", "json"), JobExplanation.newBuilder())
        assertEquals("running" to "placed", explained.state to explained.reason)
    }

    @Test
    @Order(2)
    fun `invalid input is reported in one line with its exit code and has no effect`() {
        val cases = listOf(
            Triple(listOf("drain", "start", "--machine", "host-999999"), ExitCode.NOT_FOUND, "no machine host-999999"),
            Triple(listOf("drain", "start", "--type", "tiny"), ExitCode.NOT_FOUND, "no machine type tiny"),
            Triple(listOf("drain", "start", "--zone", "z"), ExitCode.NOT_FOUND, "no zone z"),
            Triple(listOf("drain", "start"), ExitCode.USAGE, "the selector names no machine, type, zone or age"),
            Triple(listOf("drain", "start", "--zone", "a", "--percent", "120"), ExitCode.USAGE, "percent is not above 0 and at most 100"),
            Triple(listOf("drain", "start", "--zone", "a", "--percent", "many"), ExitCode.USAGE, "many"),
            Triple(listOf("drain", "start", "--older-than", "soon"), ExitCode.USAGE, "'soon' is not a duration"),
            Triple(listOf("drain", "start", "--zone", "a", "--id", "d 1"), ExitCode.USAGE, "drain id 'd 1'"),
            Triple(listOf("drain", "show", "d-0"), ExitCode.NOT_FOUND, "no drain d-0"),
            Triple(listOf("drain", "pause", "d-0"), ExitCode.NOT_FOUND, "no drain d-0"),
            Triple(listOf("budget", "show", "green"), ExitCode.NOT_FOUND, "no team green"),
            Triple(listOf("explain", "job", "job-77"), ExitCode.NOT_FOUND, "no job job-77"),
            Triple(listOf("drain", "list", "--at-least", "99999999"), ExitCode.UNREACHABLE, "is at revision"),
            Triple(listOf("drain", "list", "--output", "xml"), ExitCode.USAGE, "xml"),
            Triple(listOf("zone", "show", "z"), ExitCode.NOT_FOUND, "no zone z"),
            Triple(listOf("zone", "abandon", "a"), ExitCode.USAGE, "--class"),
            Triple(listOf("zone", "abandon", "a", "--class", "class"), ExitCode.CONFLICT, "zone a has not been lost"),
            Triple(listOf("drain", "stop"), ExitCode.USAGE, "stop"),
        )
        for ((words, code, text) in cases) {
            val result = if (code == ExitCode.USAGE && words.last() == "stop") run(words) else client(*words.toTypedArray())
            assertEquals(code.number, result.code, "$words: ${result.err}")
            assertTrue(text in result.err, "$words: ${result.err}")
            assertEquals(1, result.err.trim().lines().size, result.err)
            assertTrue(result.ms < MAX_COMMAND_MS, "$words took ${result.ms} ms")
        }
        assertEquals(0, parseJson(client("drain", "list", "--output", "json"), DrainList.newBuilder()).drainsCount)
        val unreachable = run(listOf("drain", "list", "--endpoint", "127.0.0.1:1"))
        assertEquals(ExitCode.UNREACHABLE.number, unreachable.code, unreachable.err)
    }

    @Test
    @Order(3)
    fun `a drain that is ordered repeatedly on several controllers runs once and ends as done`() {
        val words = arrayOf("drain", "start", "--id", "d-1", "--zone", "a", "--output", "json")
        val first = parseJson(client(*words, targets = listOf(nodes[0])), DrainReply.newBuilder())
        // Repeats the order on another controller after it has read the first one.
        await("replication of the order") {
            client("drain", "show", "d-1", "--at-least", first.revision.toString(), targets = listOf(nodes[1])).code == ExitCode.OK.number
        }
        assertEquals(ExitCode.OK.number, client(*words, targets = listOf(nodes[1])).code)
        val other = client("drain", "start", "--id", "d-1", "--zone", "b", targets = listOf(nodes[1]))
        assertEquals(ExitCode.CONFLICT.number, other.code, other.err)
        val waited =
            client("drain", "start", "--id", "d-1", "--zone", "a", "--wait", "--timeout", AWAIT_TIMEOUT_S.toString(), "--output", "json")
        val done = parseJson(waited, DrainReply.newBuilder())
        assertEquals("done", done.drain.state)
        assertEquals(0, done.drain.remaining)
        assertTrue(done.drain.target > 0)
        assertEquals(ExitCode.CONFLICT.number, client("drain", "cancel", "d-1").code)
        assertEquals(emptyList<String>(), environment.violations())
    }

    @Test
    @Order(4)
    fun `during an outage of the state service, reads succeed and orders are refused at once`() {
        environment.outage(true)
        Thread.sleep(OUTAGE_DETECTION_MS)
        val order = client("drain", "start", "--zone", "b")
        val read = client("drain", "list")
        environment.outage(false)
        assertEquals(ExitCode.NOT_NOW.number, order.code, order.err)
        assertTrue(order.ms < MAX_COMMAND_MS, "${order.ms} ms")
        assertEquals(ExitCode.OK.number, read.code, read.err)
        assertTrue("d-1" in read.out, read.out)
    }

    private companion object {
        const val AWAIT_TIMEOUT_S = 60
        const val MAX_COMMAND_MS = 1_000

        /** Longer than a quarter of a worker's lease, after which controllers detect the outage. */
        const val OUTAGE_DETECTION_MS = 2_500L
    }
}
