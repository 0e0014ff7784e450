package flaxfield.operator

import flaxfield.drain.OrderFault
import io.grpc.Status
import io.grpc.StatusRuntimeException

/** The gRPC statuses of refused calls, by which clients decide whether to try another controller. */
internal object CallStatus {
    fun notFound(message: String): StatusRuntimeException = exception(Status.NOT_FOUND, message)

    /** For a call that another controller may be able to answer. */
    fun unavailable(message: String): StatusRuntimeException = exception(Status.UNAVAILABLE, message)

    fun invalid(message: String): StatusRuntimeException = exception(Status.INVALID_ARGUMENT, message)

    fun failedPrecondition(message: String): StatusRuntimeException = exception(Status.FAILED_PRECONDITION, message)

    fun internal(message: String): StatusRuntimeException = exception(Status.INTERNAL, message)

    fun tooManyCalls(): StatusRuntimeException = exception(Status.RESOURCE_EXHAUSTED, "too many concurrent calls")

    /** Returns the status of an order that is refused because of [fault]. */
    fun of(fault: OrderFault, message: String): StatusRuntimeException = exception(status(fault), message)

    private fun status(fault: OrderFault): Status = when (fault) {
        OrderFault.NOT_FOUND -> Status.NOT_FOUND
        OrderFault.INVALID -> Status.INVALID_ARGUMENT
        OrderFault.CONFLICT -> Status.FAILED_PRECONDITION
        OrderFault.UNAVAILABLE -> Status.ABORTED
        OrderFault.UNKNOWN -> Status.UNKNOWN
    }

    private fun exception(status: Status, message: String) = status.withDescription(message).asRuntimeException()
}
