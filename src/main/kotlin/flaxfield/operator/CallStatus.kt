package flaxfield.operator

import flaxfield.drain.OrderFault
import io.grpc.Status
import io.grpc.StatusRuntimeException

/** The gRPC statuses with which calls are refused; clients decide by them whether to ask another controller. */
internal object CallStatus {
    fun notFound(message: String): StatusRuntimeException = exception(Status.NOT_FOUND, message)

    /** Another controller may be able to answer. */
    fun unavailable(message: String): StatusRuntimeException = exception(Status.UNAVAILABLE, message)

    fun invalid(message: String): StatusRuntimeException = exception(Status.INVALID_ARGUMENT, message)

    fun failedPrecondition(message: String): StatusRuntimeException = exception(Status.FAILED_PRECONDITION, message)

    fun internal(message: String): StatusRuntimeException = exception(Status.INTERNAL, message)

    fun tooManyCalls(): StatusRuntimeException = exception(Status.RESOURCE_EXHAUSTED, "too many calls at once")

    /** The status of an order that is refused for [fault]. */
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
