package flaxfield.upgrade

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.sim.InvariantChecker
import flaxfield.sim.SimLoop
import flaxfield.training.EnvironmentScale
import flaxfield.training.LoopbackController
import flaxfield.training.LoopbackEnvironment
import java.io.File
import kotlin.system.exitProcess

private const val MILLIS_PER_SECOND = 1_000L

/** The order in which controllers are replaced: the indexes of the nodes in each group that is killed together. */
enum class UpgradeMode(val groups: List<List<Int>>) {
    /** Replaces one node after another, so that both builds run side by side. */
    ROLLING(listOf(listOf(0), listOf(1), listOf(2))),

    /** Replaces all nodes at once: the new build starts with the stored data and the settings of the old one. */
    RESTART(listOf(listOf(0, 1, 2))),
}

/**
 * Runs three controllers of [oldBuild] on loopback in a simulated environment and replaces them by controllers of
 * [newBuild]. Meanwhile, jobs are submitted, read and cancelled, and drains are started, at each of them. Reports accepted
 * jobs that are lost, no longer known or run twice, unreadable records, and controllers that exit unexpectedly.
 */
class RollingUpgrade(private val oldBuild: Build, private val newBuild: Build, private val mode: UpgradeMode) {
    private val nodes = listOf(LoopbackController("n-0", "a"), LoopbackController("n-1", "b"), LoopbackController("n-2", "a"))
    private val environment = LoopbackEnvironment(nodes, EnvironmentScale(machinesPerZone = 8, teams = TEAMS))
    private val controllers = ControllerProcesses(environment, nodes, File("target/rolling-upgrade"))
    private val runningBuild = HashMap<LoopbackController, Build>()
    private val problems = ArrayList<String>()
    private val jobIds = ArrayList<String>()

    /** Runs the upgrade and returns the problems found. */
    fun run(): List<String> {
        try {
            environment.start()
            for (node in nodes) start(node, oldBuild)
            runJobs(cancelAt = nodes[0])
            startDrain("d-0", oldBuild, nodes[0])
            for (group in mode.groups) upgrade(group.map { nodes[it] })
            awaitFinished()
            for (node in nodes) checkOperatorReads(node)
        } finally {
            problems += controllers.unexpectedExits()
            controllers.killAll()
        }
        problems += controllers.errorLogLines()
        problems += environment.violations()
        return problems
    }

    private fun start(node: LoopbackController, build: Build) {
        controllers.start(node, build)
        runningBuild[node] = build
    }

    private fun upgrade(group: List<LoopbackController>) {
        problems += controllers.unexpectedExits()
        group.forEach(controllers::kill)
        val remaining = nodes - group.toSet()
        if (remaining.isNotEmpty()) submitBatch(remaining)
        Thread.sleep(DOWNTIME_MS)
        for (node in group) start(node, newBuild)
        runJobs(cancelAt = group.first())
        startDrain("d-${group.first().name}", newBuild, group.first())
        for (node in nodes) checkOperatorReads(node)
    }

    /** Submits jobs at each controller, cancels one of them at [cancelAt] and lets the others run for a while. */
    private fun runJobs(cancelAt: LoopbackController) {
        val submitted = submitBatch(nodes)
        awaitAccepted(submitted)
        environment.post { environment.cancelJob(cancelAt, submitted.first()) }
        Thread.sleep(RUN_MS)
        println("${jobIds.size} jobs accepted, ${environment.taskStarts()} task starts, ${unfinished().size} unfinished jobs")
    }

    private fun submitBatch(at: List<LoopbackController>): List<String> {
        val specs = List(JOBS_PER_BATCH) { jobSpec(jobIds.size + it) }
        jobIds += specs.map { it.id }
        environment.post {
            for ((index, spec) in specs.withIndex()) {
                environment.submit(spec, nodes.indexOf(at[index % at.size])) { poll(spec.id) }
            }
        }
        return specs.map { it.id }
    }

    /** Reads an accepted job at each controller once a second. */
    private fun poll(id: String) {
        for (node in nodes) environment.readJob(node, id)
        environment.after(SimLoop.SECOND) { poll(id) }
    }

    private fun startDrain(id: String, build: Build, node: LoopbackController) {
        val accepted = await { controllers.runClient(build, node, "drain", "start", "--id", id, "--type", "big", "--percent", "20") == 0 }
        if (!accepted) problems += "drain $id was not accepted by ${node.name}"
    }

    private fun checkOperatorReads(node: LoopbackController) {
        val commands = listOf(listOf("drain", "list"), listOf("budget", "list"), listOf("zone", "list"))
        for (arguments in commands) {
            val succeeded = await { controllers.runClient(runningBuild.getValue(node), node, *arguments.toTypedArray()) == 0 }
            if (!succeeded) problems += "${arguments.joinToString(" ")} fails against ${node.name}"
        }
    }

    private fun awaitAccepted(ids: List<String>) {
        val accepted = await { ids.all { environment.reportedPhase(it) != null } }
        if (!accepted) problems += "jobs not accepted: ${ids.filter { environment.reportedPhase(it) == null }}"
    }

    private fun awaitFinished() {
        if (!await { unfinished().isEmpty() }) problems += "accepted jobs that did not finish: ${unfinished()}"
        println("${jobIds.size} jobs, ${environment.taskStarts()} task starts, ${unfinished().size} unfinished jobs at the end")
    }

    private fun unfinished() = jobIds.filter { environment.reportedPhase(it) !in InvariantChecker.FINAL_PHASES }

    /** Waits until [condition] is true. Returns false on a timeout. */
    private fun await(condition: () -> Boolean): Boolean {
        val deadlineNs = System.nanoTime() + AWAIT_TIMEOUT_S * SimLoop.SECOND
        while (!condition()) {
            if (System.nanoTime() > deadlineNs) return false
            Thread.sleep(MILLIS_PER_SECOND / 2)
        }
        return true
    }

    private fun jobSpec(number: Int): JobSpec {
        val isGang = number % 2 == 0
        return Samples.spec(
            id = "job-%06d".format(number),
            jobKind = if (isGang) JobKind.GANG else JobKind.ARRAY,
            taskCount = if (isGang) 2 else ARRAY_TASKS,
            priority = if (isGang) Priority.HIGH else Priority.STANDARD,
            team = TEAMS[number % TEAMS.size],
        ).copy(expectedRuntimeS = SHORT_RUNTIME_S * (1 + number % 3), checkpointDurationS = 1.0, imageGb = 0.1)
    }

    private companion object {
        val TEAMS = listOf("red", "blue", "green")
        const val JOBS_PER_BATCH = 6
        const val ARRAY_TASKS = 4
        const val SHORT_RUNTIME_S = 5.0
        const val DOWNTIME_MS = 2_000L
        const val RUN_MS = 8_000L
        const val AWAIT_TIMEOUT_S = 60L
    }
}

/** Arguments: the directories with the jars of the old and the new build, and the [UpgradeMode] in lower case. */
fun main(args: Array<String>) {
    require(args.size == 3) { "usage: RollingUpgrade FROM_DIRECTORY TO_DIRECTORY rolling|restart" }
    val mode = UpgradeMode.valueOf(args[2].uppercase())
    val problems = RollingUpgrade(Build.of("old", File(args[0])), Build.of("new", File(args[1])), mode).run()
    problems.distinct().forEach(::println)
    println(if (problems.isEmpty()) "upgrade ${args[2]}: no problems" else "upgrade ${args[2]}: ${problems.size} problems")
    exitProcess(if (problems.isEmpty()) 0 else 1)
}
