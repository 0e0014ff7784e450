package flaxfield.client

import flaxfield.codec.MalformedException
import flaxfield.operator.v1.OperatorGrpc
import flaxfield.operator.v1.OperatorGrpc.OperatorBlockingStub
import flaxfield.settings.Address
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.TimeUnit

/** Exit codes of the clients' commands; scripts may rely on them. */
enum class ExitCode(val number: Int) {
    OK(0),

    /** The command's words are off, or what they ask for makes no sense. */
    USAGE(2),

    /** A fault of the client or of the node. */
    INTERNAL(3),

    /** It names a drain, machine, team or job that there is not. */
    NOT_FOUND(4),

    /** It does not fit how things stand: the drain is over, or a controller runs without a fleet file. */
    CONFLICT(5),

    /** No node could be reached, or none had the revision asked for. */
    UNREACHABLE(6),

    /** The order can't be recorded now: the state service does not take it. Nothing was ordered. */
    NOT_NOW(7),

    /** The state service has not answered: the order may be recorded. Repeating it under its id is safe. */
    UNKNOWN_OUTCOME(8),

    /** With --wait: the time was over before the drain was, or it ended otherwise than done. */
    NOT_DONE(9),
}

/** Why a command fails: one line, and an exit code. */
class ClientFault(val code: ExitCode, message: String) : Exception(message)

/**
 * Asks the nodes at [endpoints] one after another until one answers. Orders carry an id and may be repeated, so that
 * the next node may be asked whatever became of the last one's answer.
 */
class OperatorClient(endpoints: List<String>, timeoutS: Double) : AutoCloseable {
    private class ControllerProcess(val name: String, val channel: ManagedChannel)

    private val deadlineNs = System.nanoTime() + (timeoutS * NANOS).toLong()
    private val nodes = endpoints.map { ControllerProcess(it, channel(it)) }

    private fun channel(endpoint: String): ManagedChannel {
        val address = try {
            Address.parse(endpoint)
        } catch (e: MalformedException) {
            throw ClientFault(ExitCode.USAGE, "--endpoint: ${e.message}")
        }
        return NettyChannelBuilder.forAddress(
            address.host,
            address.port,
        ).usePlaintext().maxInboundMessageSize(MAX_BYTES).build()
    }

    /** The answer of the first node that gives one. */
    fun <T> call(request: (OperatorBlockingStub) -> T): T {
        var last: ClientFault? = null
        for ((position, node) in nodes.withIndex()) {
            val leftNs = deadlineNs - System.nanoTime()
            if (leftNs <= 0) break
            // A node that hangs must leave time for those after it.
            val shareNs = leftNs / (nodes.size - position)
            try {
                return request(
                    OperatorGrpc.newBlockingStub(node.channel).withDeadlineAfter(shareNs, TimeUnit.NANOSECONDS),
                )
            } catch (e: StatusRuntimeException) {
                val fault = fault(node.name, e.status)
                if (fault.code !in ASK_ELSEWHERE) throw fault
                if (last == null || fault.code.number > last.code.number) last = fault
            }
        }
        throw last ?: ClientFault(ExitCode.UNREACHABLE, "no node answered in time")
    }

    /** Asks again until [over] holds or the time is up. */
    fun <T> until(over: (T) -> Boolean, request: (OperatorBlockingStub) -> T): T {
        while (true) {
            val answer = call(request)
            if (over(answer)) return answer
            if (System.nanoTime() + POLL_MS * NANOS_PER_MS >= deadlineNs) return answer
            Thread.sleep(POLL_MS)
        }
    }

    private fun fault(node: String, status: Status): ClientFault {
        val text = status.cause?.message ?: status.description ?: status.code.name.lowercase()
        return when (status.code) {
            Status.Code.INVALID_ARGUMENT -> ClientFault(ExitCode.USAGE, text)
            Status.Code.NOT_FOUND -> ClientFault(ExitCode.NOT_FOUND, text)
            Status.Code.FAILED_PRECONDITION -> ClientFault(ExitCode.CONFLICT, text)
            Status.Code.ABORTED, Status.Code.RESOURCE_EXHAUSTED -> ClientFault(ExitCode.NOT_NOW, "$node: $text")
            Status.Code.UNKNOWN -> ClientFault(ExitCode.UNKNOWN_OUTCOME, "$node: $text")
            Status.Code.UNAVAILABLE, Status.Code.DEADLINE_EXCEEDED -> ClientFault(ExitCode.UNREACHABLE, "$node: $text")
            else -> ClientFault(ExitCode.INTERNAL, "$node: $text")
        }
    }

    override fun close() {
        for (node in nodes) node.channel.shutdownNow()
    }

    private companion object {
        const val NANOS = 1e9
        const val NANOS_PER_MS = 1_000_000L
        const val POLL_MS = 500L

        /** A list of some 4,000 machines is under 1 MB. */
        const val MAX_BYTES = 64 * 1024 * 1024

        /** Another node may do better. */
        val ASK_ELSEWHERE = setOf(ExitCode.UNREACHABLE, ExitCode.NOT_NOW, ExitCode.UNKNOWN_OUTCOME)
    }
}
