package flaxfield.operator

import flaxfield.drain.FleetSnapshot
import flaxfield.drain.OrderResult
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver
import org.slf4j.LoggerFactory
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Executes operators' calls: reads on the calling thread, orders on the owner thread. Limits the number of concurrent
 * calls, and completes each call with exactly one response or error. Thread-safe.
 */
internal class CallExecutor(
    /** Returns the latest snapshot. */
    private val snapshot: () -> FleetSnapshot,
    /** Posts work to the owner thread. */
    private val post: (() -> Unit) -> Unit,
) {
    private val permits = Semaphore(MAX_CONCURRENT_CALLS)

    /** Whether the server is stopping and refuses all calls. */
    @Volatile
    var isStopping = false
        private set

    /** Refuses all further calls. */
    fun stop() {
        isStopping = true
    }

    /**
     * Responds from a snapshot of revision [minRevision] or later. If this controller has none, refuses the call at
     * once, so that the client tries another controller.
     */
    fun <T> read(minRevision: Long, observer: StreamObserver<T>, respond: (FleetSnapshot) -> T) = withPermit(observer) {
        val latest = snapshot()
        when {
            latest.revision == 0uL -> throw CallStatus.unavailable("this controller has not loaded its view yet")
            latest.revision < minRevision.toULong() ->
                throw CallStatus.unavailable("this controller is at revision ${latest.revision}")
        }
        observer.onNext(respond(latest))
        observer.onCompleted()
    }

    private fun <T> withPermit(observer: StreamObserver<T>, block: () -> Unit) {
        if (!admit(observer)) return
        try {
            block()
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        } catch (fault: RuntimeException) {
            log.error("event=call_failed", fault)
            observer.onError(CallStatus.internal("internal error, see the log of the controller"))
        } finally {
            permits.release()
        }
    }

    /**
     * Submits an order on the owner thread and responds with the message that [reply] builds from the recorded order.
     */
    fun <R, T> order(
        observer: StreamObserver<T>,
        submit: ((OrderResult<R>) -> Unit) -> Unit,
        reply: (OrderResult.Recorded<out R>) -> T,
    ) = onOwnerThread(observer, submit) { result -> complete(result, observer, reply) }

    private fun <R, T> complete(
        result: OrderResult<R>,
        observer: StreamObserver<T>,
        reply: (OrderResult.Recorded<out R>) -> T,
    ) {
        when (result) {
            is OrderResult.Recorded -> try {
                observer.onNext(reply(result))
                observer.onCompleted()
            } catch (e: StatusRuntimeException) {
                observer.onError(e)
            }
            is OrderResult.Refused -> observer.onError(CallStatus.of(result.code, result.message))
        }
    }

    /** Runs [start] on the owner thread and calls [finish] with its first result; further results are ignored. */
    fun <R> onOwnerThread(observer: StreamObserver<*>, start: ((R) -> Unit) -> Unit, finish: (R) -> Unit) {
        if (!admit(observer)) return
        val isFinished = AtomicBoolean()
        post {
            start { result ->
                if (isFinished.compareAndSet(false, true)) {
                    permits.release()
                    finish(result)
                }
            }
        }
    }

    /** Acquires a permit for a call; if there is none, refuses the call and returns false. */
    private fun admit(observer: StreamObserver<*>): Boolean {
        val refusal = when {
            isStopping -> CallStatus.unavailable("this controller is stopping")
            !permits.tryAcquire() -> CallStatus.tooManyCalls()
            else -> return true
        }
        observer.onError(refusal)
        return false
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.operator")

        /** Enough for operators and their scripts; users do not call this service. */
        const val MAX_CONCURRENT_CALLS = 32
    }
}
