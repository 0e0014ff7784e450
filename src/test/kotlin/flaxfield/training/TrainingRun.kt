package flaxfield.training

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.sim.SimLoop
import kotlin.system.exitProcess

private const val MS = 1_000L

/** Jobs come in this part of a run, in percent. */
private const val SUBMIT_SHARE = 50L

/**
 * How large a run is: small for the build's class list; larger ones, by system properties, for profiles of a busy node.
 */
private object Scale {
    val machinesPerZone: Int = Integer.getInteger("training.machines", 3)
    val jobs: Int = Integer.getInteger("training.jobs", 12)
    val arrayTasks: Int = Integer.getInteger("training.arrayTasks", 6)
    val seconds: Int = Integer.getInteger("training.seconds", 12)
    val taskSeconds: Int = Integer.getInteger("training.taskSeconds", 1)
}

/**
 * Runs two real controllers on loopback against the simulation's state service, cloud, workers and users for a few
 * seconds. The build makes the class-data archive from the classes that this loads: those of a start, of a first view
 * and of ordinary work. A run that reached nobody left the HTTP codec, the CBOR codec and most decisions out of it.
 */
fun main() {
    val nodes = listOf(LoopbackController("node-a", "a"), LoopbackController("node-b", "a"))
    val world = LoopbackEnvironment(nodes, EnvironmentScale(Scale.machinesPerZone))
    for (node in nodes) {
        val settings = world.settingsFile(node)
        startThread(node.name) { flaxfield.cli.main(arrayOf("serve", "--config", settings.path)) }
    }
    world.start()
    world.post { for (number in 0 until Scale.jobs) submitLater(world, jobSpec(number), number) }
    Thread.sleep(Scale.seconds * MS)
    val starts = world.taskStarts()
    System.err.println("training run: $starts task starts")
    exitProcess(if (starts > 0) 0 else 1)
}

private fun startThread(name: String, block: () -> Unit) {
    Thread(block, name).apply { isDaemon = true }.start()
}

private fun jobSpec(number: Int): JobSpec {
    val gang = number % 2 == 0
    val spec = Samples.spec(
        id = "job-%06d".format(number),
        jobKind = if (gang) JobKind.GANG else JobKind.ARRAY,
        taskCount = if (gang) 2 else Scale.arrayTasks,
        priority = if (gang) Priority.HIGH else Priority.IDLE,
    )
    return spec.copy(expectedRuntimeS = Scale.taskSeconds.toDouble())
}

private fun submitLater(world: LoopbackEnvironment, spec: JobSpec, number: Int) {
    world.after(number * SimLoop.SECOND * SUBMIT_SHARE * Scale.seconds / (Scale.jobs * 100L)) {
        world.submit(spec, number) { node ->
            poll(world, spec, node)
            if (number % 4 == 3) world.after(SimLoop.SECOND) { world.request(node, "POST", "/work/${spec.id}/cancel") }
        }
    }
}

private fun poll(world: LoopbackEnvironment, spec: JobSpec, node: LoopbackController) {
    world.request(node, "GET", "/work/${spec.id}")
    world.request(node, "GET", "/ready")
    world.after(SimLoop.SECOND) { poll(world, spec, node) }
}
