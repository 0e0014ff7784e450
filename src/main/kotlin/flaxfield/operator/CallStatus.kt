package flaxfield.operator

import flaxfield.drain.OrderErrorCode
import io.grpc.Status
import io.grpc.StatusRuntimeException

/** The gRPC statuses of refused calls, by which clients decide whether to try another controller. */
internal object CallStatus {
    fun notFound(message: String): StatusRuntimeException = exception(Status.NOT_FOUND, message)

    /** Returns the status of a call that another controller may be able to handle. */
    fun unavailable(message: String): StatusRuntimeException = exception(Status.UNAVAILABLE, message)

    fun invalid(message: String): StatusRuntimeException = exception(Status.INVALID_ARGUMENT, message)

    fun failedPrecondition(message: String): StatusRuntimeException = exception(Status.FAILED_PRECONDITION, message)

    fun internal(message: String): StatusRuntimeException = exception(Status.INTERNAL, message)

    fun tooManyCalls(): StatusRuntimeException = exception(Status.RESOURCE_EXHAUSTED, "too many concurrent calls")

    /** Returns the status of an order that is refused because of [code]. */
    fun of(code: OrderErrorCode, message: String): StatusRuntimeException = exception(status(code), message)

    private fun status(code: OrderErrorCode): Status = when (code) {
        OrderErrorCode.NOT_FOUND -> Status.NOT_FOUND
        OrderErrorCode.INVALID -> Status.INVALID_ARGUMENT
        OrderErrorCode.CONFLICT -> Status.FAILED_PRECONDITION
        OrderErrorCode.UNAVAILABLE -> Status.ABORTED
        OrderErrorCode.UNKNOWN -> Status.UNKNOWN
    }

    private fun exception(status: Status, message: String) = status.withDescription(message).asRuntimeException()
}
