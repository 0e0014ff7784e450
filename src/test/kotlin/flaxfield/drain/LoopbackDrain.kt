package flaxfield.drain

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.training.EnvironmentScale
import flaxfield.training.LoopbackController
import flaxfield.training.LoopbackEnvironment
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

private const val JAR = "target/flaxfield.jar"
private const val CLIENT = "deploy/flaxfield"
private const val SECOND_MS = 1_000L
private val TEAMS = listOf("red", "blue", "green")

/** The result of one client command, run as a process: its exit code, output and duration. */
private class ClientRun(val code: Int, val text: String, val durationMs: Long)

/** The controller processes of the built jar, on loopback addresses. */
private class Controllers(private val environment: LoopbackEnvironment, val nodes: List<LoopbackController>) {
    private val files = nodes.associateWith { node ->
        environment.settingsFile(node) to LoopbackEnvironment.temporaryFile(
            """{"version": 1, "listen": "127.0.0.1:${node.operatorPort}", "default_budget": {"percent": 20}}""",
        )
    }
    val processes = HashMap<LoopbackController, Process>()

    fun start(node: LoopbackController) {
        val (settings, fleet) = files.getValue(node)
        val log = File("target/loopback-${node.name}.log")
        processes[node] = ProcessBuilder("java", "-Xmx84m", "-jar", JAR, "serve", "--config", settings.path, "--fleet", fleet.path)
            .redirectError(ProcessBuilder.Redirect.appendTo(log)).redirectOutput(ProcessBuilder.Redirect.DISCARD).start()
    }

    fun client(vararg arguments: String, targets: List<LoopbackController> = nodes): ClientRun {
        val endpoints = targets.flatMap { listOf("--endpoint", "127.0.0.1:${it.operatorPort}") }
        val startNs = System.nanoTime()
        val process = ProcessBuilder(listOf(CLIENT) + arguments + endpoints).redirectErrorStream(true).start()
        val text = process.inputStream.bufferedReader().readText()
        val code = process.waitFor()
        return ClientRun(code, text, (System.nanoTime() - startNs) / 1_000_000).also {
            println("${arguments.joinToString(" ")}: exit ${it.code}, ${it.durationMs} ms")
        }
    }
}

/**
 * Drains half of the machines through the built client, against three controller processes of the built jar and
 * simulated workers, cloud and state service. The leader is killed during the drain, and the commands continue against
 * the other controllers. Not part of CI; needs a build.
 */
fun main() {
    val nodes = listOf(LoopbackController("n-0", "a"), LoopbackController("n-1", "b"), LoopbackController("n-2", "a"))
    val environment = LoopbackEnvironment(nodes, EnvironmentScale(machinesPerZone = 12, teams = TEAMS))
    val controllers = Controllers(environment, nodes)
    for (node in nodes) controllers.start(node)
    environment.start()
    val jobs = (1..18).map { job(it) }
    environment.post { for ((n, j) in jobs.withIndex()) environment.submit(j, n) }
    var failures = 0
    try {
        while (environment.taskStarts() < jobs.sumOf { it.taskCount }) Thread.sleep(SECOND_MS / 2)
        Thread.sleep(4 * SECOND_MS)
        failures = drain(environment, controllers)
    } finally {
        for (p in controllers.processes.values) p.destroyForcibly()
    }
    println("violations: ${environment.violations()}; ${if (failures == 0) "all as expected" else "$failures unexpected results"}")
    exitProcess(if (failures == 0 && environment.violations().isEmpty()) 0 else 1)
}

private fun job(number: Int): JobSpec = Samples.spec(
    id = "job-$number",
    taskCount = 3,
    priority = Priority.STANDARD,
    team = TEAMS[number % TEAMS.size],
    preemptible = false,
).copy(expectedRuntimeS = 600.0, checkpointDurationS = 1.0, imageGb = 0.1)

private fun drain(environment: LoopbackEnvironment, controllers: Controllers): Int {
    val runs = ArrayList<ClientRun>()
    fun run(vararg arguments: String) = controllers.client(*arguments).also(runs::add)
    run("budget", "list").also { println(it.text) }
    run("machines", "list")
    run("drain", "start", "--id", "d-1", "--type", "big", "--percent", "50").also { println(it.text) }
    Thread.sleep(4 * SECOND_MS)
    run("drain", "show", "d-1").also { println(it.text) }
    val leader = controllers.nodes.first { it.name == environment.leader() }
    println("killing the leader ${leader.name}")
    controllers.processes.getValue(leader).destroyForcibly().waitFor(5, TimeUnit.SECONDS)
    run("drain", "show", "d-1")
    run("budget", "show", "red").also { println(it.text) }
    Thread.sleep(3 * SECOND_MS)
    controllers.start(leader)
    val startNs = System.nanoTime()
    val done = controllers.client("drain", "start", "--id", "d-1", "--type", "big", "--percent", "50", "--wait", "--timeout", "180")
    println(done.text)
    println("waited ${(System.nanoTime() - startNs) / 1_000_000} ms for the drain to finish")
    val reads = controllers.nodes.map { controllers.client("drain", "list", "--output", "json", targets = listOf(it)) }
    val slow = runs.filter { it.durationMs > SECOND_MS }
    println(
        "commands: ${runs.size}, the slowest ${runs.maxOf {
            it.durationMs
        }} ms including the client's start; over one second: ${slow.size}",
    )
    return stopCleanly(controllers) + runs.count { it.code != 0 } + reads.count { it.code != 0 } + (if (done.code == 0) 0 else 1)
}

/** Sends SIGHUP to reload the fleet file and then SIGTERM to one process; returns how many of the two failed. */
private fun stopCleanly(controllers: Controllers): Int {
    val node = controllers.nodes.last()
    val process = controllers.processes.getValue(node)
    ProcessBuilder("kill", "-HUP", process.pid().toString()).start().waitFor()
    Thread.sleep(SECOND_MS)
    val startNs = System.nanoTime()
    process.destroy()
    val exited = process.waitFor(10, TimeUnit.SECONDS)
    println("SIGTERM: exited=$exited after ${(System.nanoTime() - startNs) / 1_000_000} ms")
    val log = File("target/loopback-${node.name}.log").readText()
    return (if (exited && "event=stop_finished" in log) 0 else 1) + (if ("event=fleet_file_reloaded" in log) 0 else 1)
}
