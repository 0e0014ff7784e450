package flaxfield.training

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.sim.SimLoop
import kotlin.system.exitProcess

private const val MILLIS_PER_SECOND = 1_000L

/** The part of the run, from its start, in which jobs are submitted. */
private const val SUBMISSION_PERCENT = 50L

/**
 * The size of the workload. The defaults are small, for the build's class list; system properties set larger values to
 * profile a busy controller.
 */
private object WorkloadSize {
    val machinesPerZone: Int = Integer.getInteger("training.machines", 3)
    val jobs: Int = Integer.getInteger("training.jobs", 12)
    val arrayTasks: Int = Integer.getInteger("training.arrayTasks", 6)
    val seconds: Int = Integer.getInteger("training.seconds", 12)
    val taskSeconds: Int = Integer.getInteger("training.taskSeconds", 1)
}

/**
 * Runs two real controllers on loopback against a simulated state service, cloud, workers and users for a few seconds.
 * The build puts the loaded classes into the class-data archive. They cover the start, the first view and ordinary
 * scheduling. Without responses to its requests, a controller would not load the HTTP codec, the CBOR codec and most of
 * the scheduling code.
 */
fun main() {
    val nodes = listOf(LoopbackController("node-a", "a"), LoopbackController("node-b", "a"))
    val environment = LoopbackEnvironment(nodes, EnvironmentScale(WorkloadSize.machinesPerZone))
    for (node in nodes) {
        val settings = environment.settingsFile(node)
        startDaemonThread(node.name) { flaxfield.cli.main(arrayOf("serve", "--config", settings.path)) }
    }
    environment.start()
    environment.post { for (number in 0 until WorkloadSize.jobs) scheduleSubmission(environment, jobSpec(number), number) }
    Thread.sleep(WorkloadSize.seconds * MILLIS_PER_SECOND)
    val starts = environment.taskStarts()
    System.err.println("class-list run: $starts task starts")
    exitProcess(if (starts > 0) 0 else 1)
}

private fun startDaemonThread(name: String, block: () -> Unit) {
    Thread(block, name).apply { isDaemon = true }.start()
}

private fun jobSpec(number: Int): JobSpec {
    val isGang = number % 2 == 0
    val spec = Samples.spec(
        id = "job-%06d".format(number),
        jobKind = if (isGang) JobKind.GANG else JobKind.ARRAY,
        taskCount = if (isGang) 2 else WorkloadSize.arrayTasks,
        priority = if (isGang) Priority.HIGH else Priority.IDLE,
    )
    return spec.copy(expectedRuntimeS = WorkloadSize.taskSeconds.toDouble())
}

private fun scheduleSubmission(environment: LoopbackEnvironment, spec: JobSpec, number: Int) {
    environment.after(number * SimLoop.SECOND * SUBMISSION_PERCENT * WorkloadSize.seconds / (WorkloadSize.jobs * 100L)) {
        environment.submit(spec, number) { node ->
            poll(environment, spec, node)
            if (number % 4 == 3) environment.after(SimLoop.SECOND) { environment.request(node, "POST", "/work/${spec.id}/cancel") }
        }
    }
}

private fun poll(environment: LoopbackEnvironment, spec: JobSpec, node: LoopbackController) {
    environment.request(node, "GET", "/work/${spec.id}")
    environment.request(node, "GET", "/ready")
    environment.after(SimLoop.SECOND) { poll(environment, spec, node) }
}
