package flaxfield.client

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.codec.MalformedException
import flaxfield.operator.v1.OperatorGrpc
import flaxfield.operator.v1.OperatorGrpc.OperatorBlockingStub
import flaxfield.settings.Address
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.TimeUnit

/**
 * Asks the controllers at the given endpoints one after another until one answers, for [timeoutS][OperatorClient] in
 * all. Orders are idempotent, so that the next controller may be asked whatever became of the last one's answer.
 */
class OperatorClient(endpoints: List<String>, timeoutS: Double) : AutoCloseable {
    private class Endpoint(val name: String, val channel: ManagedChannel)

    private val deadlineNs = System.nanoTime() + (timeoutS * NANOS_PER_SECOND).toLong()
    private val endpoints = endpoints.map { Endpoint(it, openChannel(it)) }

    private fun openChannel(endpoint: String): ManagedChannel {
        val address = try {
            Address.parse(endpoint)
        } catch (e: MalformedException) {
            throw ClientFault(ExitCode.USAGE, "--endpoint: ${e.message}", e)
        }
        return NettyChannelBuilder
            .forAddress(address.host, address.port)
            .usePlaintext()
            .maxInboundMessageSize(MAX_RESPONSE_BYTES)
            .build()
    }

    /** The answer of the first controller that gives one; throws [ClientFault] if none does. */
    fun <T> call(request: (OperatorBlockingStub) -> T): T {
        var worst: ClientFault? = null
        for ((position, endpoint) in endpoints.withIndex()) {
            val leftNs = deadlineNs - System.nanoTime()
            if (leftNs <= 0) break
            // An endpoint that does not respond must leave time for those after it.
            val shareNs = leftNs / (endpoints.size - position)
            val stub = OperatorGrpc.newBlockingStub(endpoint.channel)
            try {
                return request(stub.withDeadlineAfter(shareNs, TimeUnit.NANOSECONDS))
            } catch (e: StatusRuntimeException) {
                val fault = fault(endpoint.name, e.status)
                if (fault.code !in RETRY_ELSEWHERE) throw fault
                if (worst == null || fault.code.number > worst.code.number) worst = fault
            }
        }
        throw worst ?: ClientFault(ExitCode.UNREACHABLE, "no node answered in time")
    }

    /** Polls until an answer is [final][isFinal] or the time is up, and returns the last answer. */
    fun <T> until(isFinal: (T) -> Boolean, request: (OperatorBlockingStub) -> T): T {
        while (true) {
            val answer = call(request)
            if (isFinal(answer)) return answer
            if (System.nanoTime() + POLL_INTERVAL_MS * NANOS_PER_MILLI >= deadlineNs) return answer
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun fault(endpoint: String, status: Status): ClientFault {
        val text = status.cause?.message ?: status.description ?: status.code.name.lowercase()
        return when (status.code) {
            Status.Code.INVALID_ARGUMENT -> ClientFault(ExitCode.USAGE, text)
            Status.Code.NOT_FOUND -> ClientFault(ExitCode.NOT_FOUND, text)
            Status.Code.FAILED_PRECONDITION -> ClientFault(ExitCode.CONFLICT, text)
            Status.Code.ABORTED, Status.Code.RESOURCE_EXHAUSTED -> ClientFault(ExitCode.NOT_NOW, "$endpoint: $text")
            Status.Code.UNKNOWN -> ClientFault(ExitCode.UNKNOWN_OUTCOME, "$endpoint: $text")
            Status.Code.UNAVAILABLE, Status.Code.DEADLINE_EXCEEDED ->
                ClientFault(ExitCode.UNREACHABLE, "$endpoint: $text")
            else -> ClientFault(ExitCode.INTERNAL, "$endpoint: $text")
        }
    }

    override fun close() {
        for (endpoint in endpoints) endpoint.channel.shutdownNow()
    }

    private companion object {
        const val POLL_INTERVAL_MS = 500L

        /** A list of some 4,000 machines is under 1 MB. */
        const val MAX_RESPONSE_BYTES = 64 * 1024 * 1024

        /** Failures with which another controller is asked. */
        val RETRY_ELSEWHERE = setOf(ExitCode.UNREACHABLE, ExitCode.NOT_NOW, ExitCode.UNKNOWN_OUTCOME)
    }
}
