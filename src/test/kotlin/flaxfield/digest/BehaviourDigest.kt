package flaxfield.digest

import flaxfield.drain.DrainSimulationTest
import flaxfield.sim.MeetingsTest
import flaxfield.sim.SimChannel
import flaxfield.sim.SimRecorder
import flaxfield.sim.SimulationTest
import flaxfield.zones.ZoneSimulationTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.io.File
import java.lang.reflect.InvocationTargetException
import java.lang.reflect.Method
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/**
 * Plays the seeded simulations and writes a digest of what the controllers said in each, to compare the behaviour of
 * two versions of the sources. A change that must not alter behaviour leaves every line as it was.
 *
 * A row is one run of a test method of a simulation suite, with the arguments that its JUnit annotation lists, so that
 * the rows follow the tests; further seeds of each kind of [SimulationTest] come on top. Each row is one line:
 *
 *     suite seed kind sha256 events
 *
 * `kind` is the method's name and its other arguments, without spaces; `seed` is `-` where the method has none. The
 * hash covers each message with its virtual time, sender, path or status, and bytes, in the order sent: requests of the
 * controllers to the state service and the cloud, direct commands to workers, messages between controllers, and
 * requests to controllers with their answers (those of users, and workers' reports). Operators' orders are covered by
 * what they write. A row whose test fails ends in `FAILED` and the type of the error; the hash covers what was sent
 * until then.
 *
 * Identity hash codes must be the same in each run (`-XX:hashCode=2`, as the script sets it): `JobRequestHandler` gives
 * up on the users who wait for an answer of the state service in the order of a `HashSet` of objects without a hash
 * code of their own. The answers go to different users at one instant, but their order is another in each process
 * otherwise.
 *
 * To run, with Maven offline:
 *
 *     tools/behaviour-digest.sh OUT [SUITE|all] [THREADS] [TRACES]
 *     diff src/test/resources/digest/44a1062.txt OUT
 *
 * `SUITE` is the simple name of a suite. With `TRACES`, a directory, the messages of each row go there as text, a file
 * a row (some 10 MB each), so that a diff shows the first message that differs. Not a test that CI runs.
 */
fun main(args: Array<String>) {
    require(args.isNotEmpty()) { "usage: BehaviourDigest OUT [SUITE|all] [THREADS] [TRACES]" }
    val output = File(args[0])
    val suite = args.getOrNull(1)?.takeIf { it != ALL_SUITES }
    val threads = args.getOrNull(2)?.toInt() ?: 1
    val traces = args.getOrNull(3)?.let { File(it).apply { mkdirs() } }
    val rows = SUITES.filter { suite == null || it.simpleName == suite }.flatMap(::rowsOf)
    require(rows.isNotEmpty()) { "no such suite: $suite" }
    val pool = Executors.newFixedThreadPool(threads)
    try {
        val lines = rows.map { row -> pool.submit(Callable { row.play(traces) }) }
        output.bufferedWriter().use { writer ->
            for (line in lines) {
                writer.appendLine(line.get())
                writer.flush()
            }
        }
    } finally {
        pool.shutdownNow()
    }
}

private const val ALL_SUITES = "all"
private val SUITES = listOf(
    SimulationTest::class.java,
    MeetingsTest::class.java,
    DrainSimulationTest::class.java,
    ZoneSimulationTest::class.java,
)

/**
 * What is added to the seeds of [SimulationTest]'s kinds for its further rows; none of the sums is a seed of the test.
 */
private val FURTHER_SEEDS = listOf(40, 80, 120)

/** One test method with its arguments. */
private class Row(private val method: Method, private val arguments: List<String>) {
    private val hasSeed = arguments.isNotEmpty() && method.parameterTypes[0] == Int::class.javaPrimitiveType
    private val seed = if (hasSeed) arguments[0] else "-"
    private val kind = (
        listOf(
            method.name,
        ) + if (hasSeed) arguments.drop(1) else arguments
        ).joinToString("|").replace(' ', '_')

    /** The line of this row; its messages go to a file in [traces] where that is given. */
    fun play(traces: File?): String {
        val digest = MessageHash()
        val trace = traces?.let {
            MessageTrace(File(it, "${method.declaringClass.simpleName}-$seed-${kind.hashCode().toUInt()}.txt"))
        }
        SimRecorder.current = SimRecorder { atNs, channel, target, body ->
            digest.sent(atNs, channel, target, body)
            trace?.sent(atNs, channel, target, body)
        }
        val failure = try {
            val values = arguments.zip(method.parameterTypes).map { (text, type) -> convert(text, type) }
            method.invoke(method.declaringClass.getDeclaredConstructor().newInstance(), *values.toTypedArray())
            null
        } catch (e: InvocationTargetException) {
            e.targetException
        } finally {
            SimRecorder.current = null
            trace?.close()
        }
        if (failure != null) System.err.println("${method.declaringClass.simpleName} $seed $kind: $failure")
        val outcome = if (failure == null) "" else " FAILED ${failure.javaClass.simpleName}"
        return "${method.declaringClass.simpleName} $seed $kind ${digest.hex()} ${digest.events}$outcome"
    }
}

/** The rows of [suite], ordered by method name and then as the annotations list them. */
private fun rowsOf(suite: Class<*>): List<Row> = suite.declaredMethods.sortedBy { it.name }.flatMap { method ->
    val arguments = argumentsOf(method)
    (arguments + furtherSeeds(method, arguments)).map { Row(method, it) }
}

/** The arguments of each run of [method]; none if it is no test. */
private fun argumentsOf(method: Method): List<List<String>> {
    method.getAnnotation(CsvSource::class.java)?.let { source ->
        return source.value.map { row -> row.split(',').map { it.trim() } }
    }
    method.getAnnotation(ValueSource::class.java)?.let { source ->
        return (source.ints.toList() + source.doubles.toList() + source.strings.toList()).map { listOf(it.toString()) }
    }
    return if (method.isAnnotationPresent(Test::class.java)) listOf(emptyList()) else emptyList()
}

/** More rows of a [method] of [SimulationTest] that takes a seed and the kind of troubles. */
private fun furtherSeeds(method: Method, arguments: List<List<String>>): List<List<String>> {
    val takesKind = method.parameterTypes.toList() == listOf(Int::class.javaPrimitiveType, String::class.java)
    if (method.declaringClass != SimulationTest::class.java || !takesKind) return emptyList()
    return FURTHER_SEEDS.flatMap { more -> arguments.map { (seed, kind) -> listOf("${seed.toInt() + more}", kind) } }
}

private fun convert(text: String, type: Class<*>): Any = when (type) {
    Int::class.javaPrimitiveType -> text.toInt()
    Double::class.javaPrimitiveType -> text.toDouble()
    Boolean::class.javaPrimitiveType -> text.toBooleanStrict()
    String::class.java -> text
    else -> throw IllegalArgumentException("a test's parameter of $type")
}

/** The hash over the messages of all simulations of one row. */
private class MessageHash : SimRecorder {
    private val sha256 = MessageDigest.getInstance("SHA-256")
    private val head = ByteBuffer.allocate(Long.SIZE_BYTES + 3 * Int.SIZE_BYTES)

    /** How many messages there were. */
    var events = 0L
        private set

    override fun sent(atNs: Long, channel: SimChannel, target: String, body: ByteArray) {
        val targetBytes = target.toByteArray()
        head.clear()
        head.putLong(atNs).putInt(channel.ordinal).putInt(targetBytes.size).putInt(body.size)
        sha256.update(head.array())
        sha256.update(targetBytes)
        sha256.update(body)
        events++
    }

    fun hex(): String = sha256.digest().joinToString("") { "%02x".format(it) }
}

/** Writes messages to [file], a line each; of their bytes those that are printable ASCII. */
private class MessageTrace(file: File) :
    SimRecorder,
    AutoCloseable {
    private val writer = file.bufferedWriter()

    override fun sent(atNs: Long, channel: SimChannel, target: String, body: ByteArray) {
        val text = String(CharArray(body.size) { i -> body[i].toInt().toChar().takeIf { it in ' '..'~' } ?: '.' })
        writer.appendLine("$atNs $channel $target $text")
    }

    override fun close() = writer.close()
}
