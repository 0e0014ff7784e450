package flaxfield.digest

import flaxfield.drain.DrainSimulationTest
import flaxfield.sim.CombinedFaultsTest
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
 * Runs the seeded simulations and writes a digest of the controllers' messages in each, to compare the behaviour of two
 * versions of the sources. A change that preserves behaviour leaves every line unchanged.
 *
 * A row is one run of a test method of a simulation suite with arguments from its JUnit annotation, so the rows follow
 * the tests. There are additional rows with other seeds for each kind of [SimulationTest]. Each row is one line:
 *
 *     suite seed kind sha256 events
 *
 * `kind` is the method's name and its other arguments, without spaces; `seed` is `-` if the method has none. If the
 * test fails, the row ends in `FAILED` and the type of the error, and the hash covers the messages up to the failure.
 *
 * The hash covers these messages in the order sent, each with its virtual time, sender, path or status, and bytes:
 *
 * - the controllers' requests to the state service and the cloud
 * - their direct commands to workers
 * - the messages between controllers
 * - the requests of users and the heartbeats of workers to controllers, with the responses
 *
 * It does not cover operators' requests, but the writes that they cause.
 *
 * Identity hash codes must be the same in each run, so the script sets `-XX:hashCode=2`. When the state service is
 * unreachable, `LinearizableJobReader` fails the waiting reads in the order of a `HashSet` of objects that do not override
 * `hashCode`. The responses go to different users at the same instant. Without the option, their order would differ in
 * each process.
 *
 * Usage, with Maven offline:
 *
 *     tools/behaviour-digest.sh OUT [SUITE|all] [THREADS] [TRACES]
 *     tools/digest-compare.sh src/test/resources/digest/44a1062.txt OUT
 *
 * `SUITE` is the simple name of a suite. If the directory `TRACES` is given, the messages of each row are written there
 * as text, in one file of about 10 MB per row. A diff of two such files shows the first message that differs. CI does
 * not run this.
 */
fun main(args: Array<String>) {
    require(args.isNotEmpty()) { "usage: BehaviourDigest OUT [SUITE|all] [THREADS] [TRACES]" }
    val output = File(args[0])
    val suite = args.getOrNull(1)?.takeIf { it != ALL_SUITES }
    val threads = args.getOrNull(2)?.toInt() ?: 1
    val traces = args.getOrNull(3)?.let { File(it).apply { mkdirs() } }
    val rows = SUITES.filter { suite == null || it.simpleName == suite }.flatMap(::rowsOf)
    require(rows.isNotEmpty()) { "unknown suite: $suite" }
    val pool = Executors.newFixedThreadPool(threads)
    try {
        val lines = rows.map { row -> pool.submit(Callable { row.run(traces) }) }
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
    CombinedFaultsTest::class.java,
    DrainSimulationTest::class.java,
    ZoneSimulationTest::class.java,
)

/** The offsets from the seeds of [SimulationTest] to those of its additional rows. No sum is itself a seed of the test. */
private val ADDITIONAL_SEED_OFFSETS = listOf(40, 80, 120)

/** One test method with its arguments. */
private class Row(private val method: Method, private val arguments: List<String>) {
    private val hasSeed = arguments.isNotEmpty() && method.parameterTypes[0] == Int::class.javaPrimitiveType
    private val seed = if (hasSeed) arguments[0] else "-"
    private val kind = (listOf(method.name) + if (hasSeed) arguments.drop(1) else arguments)
        .joinToString("|").replace(' ', '_')

    /** Runs the test and returns the line of this row. Writes the messages to a file in [traces], if given. */
    fun run(traces: File?): String {
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

/** Returns the rows of [suite], ordered by method name and then as in the annotations. */
private fun rowsOf(suite: Class<*>): List<Row> = suite.declaredMethods.sortedBy { it.name }.flatMap { method ->
    val arguments = argumentsOf(method)
    (arguments + additionalArguments(method, arguments)).map { Row(method, it) }
}

/** Returns the arguments of each run of [method]; empty if it is not a test. */
private fun argumentsOf(method: Method): List<List<String>> {
    method.getAnnotation(CsvSource::class.java)?.let { source ->
        return source.value.map { row -> row.split(',').map { it.trim() } }
    }
    method.getAnnotation(ValueSource::class.java)?.let { source ->
        return (source.ints.toList() + source.doubles.toList() + source.strings.toList()).map { listOf(it.toString()) }
    }
    return if (method.isAnnotationPresent(Test::class.java)) listOf(emptyList()) else emptyList()
}

/** Returns additional arguments for [method] if it is a test of [SimulationTest] that takes a seed and a kind of fault. */
private fun additionalArguments(method: Method, arguments: List<List<String>>): List<List<String>> {
    val takesKind = method.parameterTypes.toList() == listOf(Int::class.javaPrimitiveType, String::class.java)
    if (method.declaringClass != SimulationTest::class.java || !takesKind) return emptyList()
    return ADDITIONAL_SEED_OFFSETS.flatMap { offset -> arguments.map { (seed, kind) -> listOf("${seed.toInt() + offset}", kind) } }
}

private fun convert(text: String, type: Class<*>): Any = when (type) {
    Int::class.javaPrimitiveType -> text.toInt()
    Double::class.javaPrimitiveType -> text.toDouble()
    Boolean::class.javaPrimitiveType -> text.toBooleanStrict()
    String::class.java -> text
    else -> throw IllegalArgumentException("unsupported type of a test parameter: $type")
}

/** Computes the hash of the messages of all simulations in one row. */
private class MessageHash : SimRecorder {
    private val sha256 = MessageDigest.getInstance("SHA-256")
    private val header = ByteBuffer.allocate(Long.SIZE_BYTES + 3 * Int.SIZE_BYTES)

    /** The number of messages. */
    var events = 0L
        private set

    override fun sent(atNs: Long, channel: SimChannel, target: String, body: ByteArray) {
        val targetBytes = target.toByteArray()
        header.clear()
        header.putLong(atNs).putInt(channel.ordinal).putInt(targetBytes.size).putInt(body.size)
        sha256.update(header.array())
        sha256.update(targetBytes)
        sha256.update(body)
        events++
    }

    fun hex(): String = sha256.digest().joinToString("") { "%02x".format(it) }
}

/** Writes each message to [file] as one line, with bytes other than printable ASCII replaced by dots. */
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
