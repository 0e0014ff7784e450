package flaxfield.operator

import flaxfield.drain.FleetSnapshot
import flaxfield.drain.OrderResult
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver
import org.slf4j.LoggerFactory
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Runs operators' calls: reads on the caller's thread, orders on the owner thread. Limits how many run at once, and
 * ends each call with exactly one answer or error. Safe from any thread.
 */
internal class CallExecutor(
    /** The latest snapshot. */
    private val snapshot: () -> FleetSnapshot,
    /** Hands work to the owner thread. */
    private val post: (() -> Unit) -> Unit,
) {
    private val permits = Semaphore(MAX_CONCURRENT_CALLS)

    /** Whether every call is refused. */
    @Volatile
    var isStopping = false
        private set

    /** Refuses every call from here on. */
    fun stop() {
        isStopping = true
    }

    /**
     * Answers from a snapshot of revision [minRevision] or later; refuses at once where this controller has none, so
     * that the client asks another.
     */
    fun <T> read(minRevision: Long, observer: StreamObserver<T>, answer: (FleetSnapshot) -> T) = guarded(observer) {
        val latest = snapshot()
        when {
            latest.revision == 0uL -> throw CallStatus.unavailable("this node has not read its view yet")
            latest.revision < minRevision.toULong() ->
                throw CallStatus.unavailable("this node is at revision ${latest.revision}")
        }
        observer.onNext(answer(latest))
        observer.onCompleted()
    }

    private fun <T> guarded(observer: StreamObserver<T>, block: () -> Unit) {
        if (!admit(observer)) return
        try {
            block()
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        } catch (fault: RuntimeException) {
            log.error("event=call_failed", fault)
            observer.onError(CallStatus.internal("internal fault, see the node's log"))
        } finally {
            permits.release()
        }
    }

    /** Submits an order on the owner thread and answers once, with what [reply] makes of its record. */
    fun <R, T> order(
        observer: StreamObserver<T>,
        submit: ((OrderResult<R>) -> Unit) -> Unit,
        reply: (OrderResult.Recorded<out R>) -> T,
    ) = onOwnerThread(observer, submit) { result -> answer(result, observer, reply) }

    private fun <R, T> answer(
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
            is OrderResult.Refused -> observer.onError(CallStatus.of(result.fault, result.message))
        }
    }

    /** Runs [start] on the owner thread; [finish] is called with the first result that it gives. */
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

    /** Takes a permit for one call; false, with the call refused, if there is none. */
    private fun admit(observer: StreamObserver<*>): Boolean {
        val refusal = when {
            isStopping -> CallStatus.unavailable("this node is stopping")
            !permits.tryAcquire() -> CallStatus.tooManyCalls()
            else -> return true
        }
        observer.onError(refusal)
        return false
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.operator")

        /** Callers are operators and their scripts, not users. */
        const val MAX_CONCURRENT_CALLS = 32
    }
}
