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
 * A client of the operators' service. Tries the controllers at the given endpoints in order until one responds, within
 * [timeoutS][OperatorClient] in total. Orders are idempotent, so a request whose outcome is unknown is safe to repeat.
 */
class OperatorClient(endpoints: List<String>, timeoutS: Double) : AutoCloseable {
    private class Endpoint(val name: String, val channel: ManagedChannel)

    private val deadlineNs = System.nanoTime() + (timeoutS * NANOS_PER_SECOND).toLong()
    private val endpoints = endpoints.map { Endpoint(it, openChannel(it)) }

    private fun openChannel(endpoint: String): ManagedChannel {
        val address = try {
            Address.parse(endpoint)
        } catch (e: MalformedException) {
            throw ClientException(ExitCode.USAGE, "--endpoint: ${e.message}", e)
        }
        return NettyChannelBuilder
            .forAddress(address.host, address.port)
            .usePlaintext()
            .maxInboundMessageSize(MAX_RESPONSE_BYTES)
            .build()
    }

    /** Returns the response of the first controller that gives one; throws [ClientException] if none does. */
    fun <T> call(request: (OperatorBlockingStub) -> T): T {
        var worst: ClientException? = null
        for ((position, endpoint) in endpoints.withIndex()) {
            val remainingNs = deadlineNs - System.nanoTime()
            if (remainingNs <= 0) break
            // Divides the remaining time, so that an endpoint that does not respond leaves time for those after it.
            val attemptTimeoutNs = remainingNs / (endpoints.size - position)
            val stub = OperatorGrpc.newBlockingStub(endpoint.channel)
            try {
                return request(stub.withDeadlineAfter(attemptTimeoutNs, TimeUnit.NANOSECONDS))
            } catch (e: StatusRuntimeException) {
                val failure = toException(endpoint.name, e.status)
                if (failure.code !in FAILOVER_CODES) throw failure
                if (worst == null || failure.code.number > worst.code.number) worst = failure
            }
        }
        throw worst ?: ClientException(ExitCode.UNREACHABLE, "no controller answered within the timeout")
    }

    /** Polls until a response is [final][isFinal] or the timeout has elapsed, and returns the last response. */
    fun <T> pollUntil(isFinal: (T) -> Boolean, request: (OperatorBlockingStub) -> T): T {
        while (true) {
            val response = call(request)
            if (isFinal(response)) return response
            if (System.nanoTime() + POLL_INTERVAL_MS * NANOS_PER_MILLI >= deadlineNs) return response
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun toException(endpoint: String, status: Status): ClientException {
        val text = status.cause?.message ?: status.description ?: status.code.name.lowercase()
        return when (status.code) {
            Status.Code.INVALID_ARGUMENT -> ClientException(ExitCode.USAGE, text)
            Status.Code.NOT_FOUND -> ClientException(ExitCode.NOT_FOUND, text)
            Status.Code.FAILED_PRECONDITION -> ClientException(ExitCode.CONFLICT, text)
            Status.Code.ABORTED, Status.Code.RESOURCE_EXHAUSTED -> ClientException(ExitCode.NOT_NOW, "$endpoint: $text")
            Status.Code.UNKNOWN -> ClientException(ExitCode.UNKNOWN_OUTCOME, "$endpoint: $text")
            Status.Code.UNAVAILABLE, Status.Code.DEADLINE_EXCEEDED ->
                ClientException(ExitCode.UNREACHABLE, "$endpoint: $text")
            else -> ClientException(ExitCode.INTERNAL, "$endpoint: $text")
        }
    }

    override fun close() {
        for (endpoint in endpoints) endpoint.channel.shutdownNow()
    }

    private companion object {
        const val POLL_INTERVAL_MS = 500L

        /** Ample: a list of about 4,000 machines takes less than 1 MB. */
        const val MAX_RESPONSE_BYTES = 64 * 1024 * 1024

        /** The failures after which the next controller is tried. */
        val FAILOVER_CODES = setOf(ExitCode.UNREACHABLE, ExitCode.NOT_NOW, ExitCode.UNKNOWN_OUTCOME)
    }
}
