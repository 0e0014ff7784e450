package flaxfield.training

import flaxfield.Samples
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

private const val TIMEOUT_S = 20L
private const val POLL_INTERVAL_MS = 100L

/**
 * Starts `java -jar flaxfield.jar serve --fleet FILE` with the built jars, as documented, and fails the build unless it
 * accepts a job and starts its tasks. Guards against classes of the main jar that need classes of the operators' jar:
 * the process then ended with a NoClassDefFoundError. The argument is the path of the main jar.
 */
fun main(arguments: Array<String>) {
    val node = LoopbackController("node-a", "a")
    val environment = LoopbackEnvironment(listOf(node), EnvironmentScale(machinesPerZone = 2))
    val process = startController(arguments.single(), environment, node)
    environment.start()
    environment.post { environment.submit(Samples.spec(id = "job-1", taskCount = 1), 0) }
    val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
    while (process.isAlive && environment.taskStarts() == 0 && System.nanoTime() < deadlineNs) {
        Thread.sleep(POLL_INTERVAL_MS)
    }
    val isServing = process.isAlive && environment.taskStarts() > 0
    System.err.println("start with a fleet file: " + if (isServing) "serves" else "failed")
    process.destroyForcibly().waitFor()
    exitProcess(if (isServing) 0 else 1)
}

private fun startController(jar: String, environment: LoopbackEnvironment, node: LoopbackController): Process {
    val fleetFile = LoopbackEnvironment.temporaryFile(
        """{"version": 1, "listen": "127.0.0.1:${node.operatorPort}", "default_budget": {"percent": 50}}""",
    )
    val settingsFile = environment.settingsFile(node)
    return ProcessBuilder(
        "java", "-Xmx84m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-jar", File(jar).path,
        "serve", "--config", settingsFile.path, "--fleet", fleetFile.path,
    ).redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(ProcessBuilder.Redirect.INHERIT).start()
}
