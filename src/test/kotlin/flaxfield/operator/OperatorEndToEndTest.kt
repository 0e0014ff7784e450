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
import flaxfield.training.LoopbackController
import flaxfield.training.LoopbackEnvironment
import flaxfield.training.EnvironmentScale
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

/** The client's commands against three controllers of this process, with their outside on loopback. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class OperatorEndToEndTest {
    private val nodes = listOf(LoopbackController("n-0", "a"), LoopbackController("n-1", "b"), LoopbackController("n-2", "a"))
    private val world = LoopbackEnvironment(nodes, EnvironmentScale(machinesPerZone = 6, teams = listOf("red", "blue")))

    private class Result(val code: Int, val out: String, val err: String, val ms: Long)

    @BeforeAll
    fun start() {
        for (node in nodes) {
            val settings = world.settingsFile(node)
            val fleet = LoopbackEnvironment.temporaryFile(
                """{"version": 1, "listen": "127.0.0.1:${node.operatorPort}", "default_budget": {"percent": 50},
                   "budgets": {"red": {"cpus": 8, "accelerators": 2}}, "classes": {"class": "any"}}""",
            )
            val run = Runnable { flaxfield.cli.main(arrayOf("serve", "--config", settings.path, "--fleet", fleet.path)) }
            Thread(run, node.name).apply { isDaemon = true }.start()
        }
        world.start()
        world.post { for (n in 1..6) world.submit(job(n), n) }
        await("tasks run") { world.taskStarts() >= 12 }
        await("all files are published") { client("budget", "list").code == ExitCode.OK.number }
    }

    @AfterAll
    fun end() = world.outage(false)

    private fun job(number: Int): JobSpec = Samples.spec(
        id = "job-$number",
        taskCount = 3,
        priority = Priority.STANDARD,
        team = if (number % 2 == 0) "red" else "blue",
        preemptible = false,
    ).copy(expectedRuntimeS = 600.0, checkpointDurationS = 1.0, imageGb = 0.1)

    private fun await(what: String, over: () -> Boolean) {
        val untilNs = System.nanoTime() + AWAIT_S * 1_000_000_000L
        while (!over()) {
            check(System.nanoTime() < untilNs) { "$what: not within $AWAIT_S s" }
            Thread.sleep(200)
        }
    }

    /** Runs a command in this process, against all nodes unless [ask] names some. */
    private fun client(vararg words: String, ask: List<LoopbackController> = nodes): Result {
        val endpoints = ask.flatMap { listOf("--endpoint", "127.0.0.1:${it.operatorPort}") }
        return run(words.toList() + endpoints)
    }

    private fun run(words: List<String>): Result {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val before = System.out to System.err
        System.setOut(PrintStream(out, true))
        System.setErr(PrintStream(err, true))
        val startNs = System.nanoTime()
        try {
            val code = OperatorCommands.run(words.toTypedArray())
            return Result(code, out.toString(), err.toString(), (System.nanoTime() - startNs) / 1_000_000)
        } finally {
            System.setOut(before.first)
            System.setErr(before.second)
        }
    }

    private fun <B : ProtoMessage.Builder> json(result: Result, into: B): B {
        assertEquals(ExitCode.OK.number, result.code, result.err)
        JsonFormat.parser().merge(result.out, into)
        return into
    }

    @Test
    @Order(1)
    fun `each node gives the same answer at the same revision, within a second`() {
        val machines = nodes.map { node ->
            json(client("machines", "list", "--output", "json", ask = listOf(node)), MachineList.newBuilder())
        }
        val byRevision = machines.groupBy { it.revision }.values
        for (same in byRevision) assertEquals(1, same.map { it.build() }.distinct().size)
        assertTrue(machines.all { it.machinesCount > 0 })
        val newest = machines.maxOf { it.revision }
        val result = client("budget", "list", "--output", "json", "--at-least", newest.toString())
        val budgets = json(result, BudgetList.newBuilder())
        assertTrue(budgets.revision >= newest)
        assertEquals(listOf("blue", "red"), budgets.budgetsList.map { it.team })
        assertEquals(8.0, budgets.budgetsList.first { it.team == "red" }.allowed.cpus)
        assertTrue(result.ms < SECOND_MS, "${result.ms} ms")
        val zones = nodes.map { json(client("zone", "list", "--output", "json", ask = listOf(it)), ZoneList.newBuilder()) }
        assertTrue(zones.all { z -> z.zonesList.map { "${it.name} ${it.state}" } == listOf("a healthy", "b healthy") }, "$zones")
        for (same in zones.groupBy { it.revision }.values) assertEquals(1, same.map { it.build() }.distinct().size)
        val explained = json(client("explain", "job", "job-1", "--output", "json"), JobExplanation.newBuilder())
        assertEquals("running" to "placed", explained.state to explained.reason)
    }

    @Test
    @Order(2)
    fun `bad input is named in one line, with its exit code, and orders nothing`() {
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
            assertTrue(result.ms < SECOND_MS, "$words took ${result.ms} ms")
        }
        assertEquals(0, json(client("drain", "list", "--output", "json"), DrainList.newBuilder()).drainsCount)
        val nobody = run(listOf("drain", "list", "--endpoint", "127.0.0.1:1"))
        assertEquals(ExitCode.UNREACHABLE.number, nobody.code, nobody.err)
    }

    @Test
    @Order(3)
    fun `an order is taken once, by any node, and runs to done`() {
        val words = arrayOf("drain", "start", "--id", "d-1", "--zone", "a", "--output", "json")
        val first = json(client(*words, ask = listOf(nodes[0])), DrainReply.newBuilder())
        // A repeat, at another node, that has seen the first.
        await("the order is known everywhere") {
            client("drain", "show", "d-1", "--at-least", first.revision.toString(), ask = listOf(nodes[1])).code == ExitCode.OK.number
        }
        assertEquals(ExitCode.OK.number, client(*words, ask = listOf(nodes[1])).code)
        val other = client("drain", "start", "--id", "d-1", "--zone", "b", ask = listOf(nodes[1]))
        assertEquals(ExitCode.CONFLICT.number, other.code, other.err)
        val waited = client("drain", "start", "--id", "d-1", "--zone", "a", "--wait", "--timeout", AWAIT_S.toString(), "--output", "json")
        val done = json(waited, DrainReply.newBuilder())
        assertEquals("done", done.drain.state)
        assertEquals(0, done.drain.remaining)
        assertTrue(done.drain.target > 0)
        assertEquals(ExitCode.CONFLICT.number, client("drain", "cancel", "d-1").code)
        assertEquals(emptyList<String>(), world.violations())
    }

    @Test
    @Order(4)
    fun `while the state service is out reads go on and orders are refused at once`() {
        world.outage(true)
        Thread.sleep(OUTAGE_KNOWN_MS)
        val order = client("drain", "start", "--zone", "b")
        val read = client("drain", "list")
        world.outage(false)
        assertEquals(ExitCode.NOT_NOW.number, order.code, order.err)
        assertTrue(order.ms < SECOND_MS, "${order.ms} ms")
        assertEquals(ExitCode.OK.number, read.code, read.err)
        assertTrue("d-1" in read.out, read.out)
    }

    private companion object {
        const val AWAIT_S = 60
        const val SECOND_MS = 1_000

        /** A quarter of a worker's lease without an answer, and some more. */
        const val OUTAGE_KNOWN_MS = 2_500L
    }
}
