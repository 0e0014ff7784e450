package flaxfield.operator

import flaxfield.drain.DrainOrder
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetControl
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.LedgerLimits
import flaxfield.drain.OrderFault
import flaxfield.drain.OrderResult
import flaxfield.drain.Selector
import flaxfield.jobs.JobCodec
import flaxfield.operator.v1.AbandonZoneRequest
import flaxfield.operator.v1.BudgetList
import flaxfield.operator.v1.BudgetReply
import flaxfield.operator.v1.Change
import flaxfield.operator.v1.ChangeDrainRequest
import flaxfield.operator.v1.DrainList
import flaxfield.operator.v1.DrainReply
import flaxfield.operator.v1.JobExplanation
import flaxfield.operator.v1.MachineList
import flaxfield.operator.v1.OperatorGrpc
import flaxfield.operator.v1.ReadRequest
import flaxfield.operator.v1.ShowRequest
import flaxfield.operator.v1.StartDrainRequest
import flaxfield.operator.v1.ZoneList
import flaxfield.operator.v1.ZoneReply
import flaxfield.settings.Settings
import flaxfield.zones.AbandonOrder
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver
import org.slf4j.LoggerFactory
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Serves operators. Reads are answered from the latest snapshot on the caller's thread; orders go to the owner thread.
 */
class OperatorService(
    private val control: FleetControl,
    private val settings: Settings,
    /** Hands work to the owner thread. */
    private val post: (() -> Unit) -> Unit,
    /** Looks up jobs that are over. */
    private val finished: FinishedJobReader,
) : OperatorGrpc.OperatorImplBase() {
    private val places = Semaphore(MAX_AT_ONCE)

    @Volatile
    private var stopping = false

    /** From here on every call is refused. */
    fun stop() {
        stopping = true
    }

    override fun listDrains(request: ReadRequest, out: StreamObserver<DrainList>) = read(request.atLeast, out) { s ->
        DrainList.newBuilder().setRevision(s.revision.toLong()).addAllDrains(answers(s).drains()).build()
    }

    override fun showDrain(request: ShowRequest, out: StreamObserver<DrainReply>) = read(request.atLeast, out) { s ->
        val drain = answers(s).drain(request.name) ?: throw notFound("no drain ${request.name}")
        DrainReply.newBuilder().setRevision(s.revision.toLong()).setDrain(drain).build()
    }

    override fun listBudgets(request: ReadRequest, out: StreamObserver<BudgetList>) = read(request.atLeast, out) { s ->
        needFiles(s)
        BudgetList.newBuilder().setRevision(s.revision.toLong()).addAllBudgets(answers(s).budgets()).build()
    }

    override fun showBudget(request: ShowRequest, out: StreamObserver<BudgetReply>) = read(request.atLeast, out) { s ->
        needFiles(s)
        if (request.name !in settings.teams) throw notFound("no team ${request.name}")
        val reply = BudgetReply.newBuilder().setRevision(s.revision.toLong())
        reply.setBudget(answers(s).budgetOf(request.name)).build()
    }

    override fun listMachines(request: ReadRequest, out: StreamObserver<MachineList>) =
        read(request.atLeast, out) { s ->
            MachineList.newBuilder().setRevision(s.revision.toLong()).addAllMachines(answers(s).machines()).build()
        }

    override fun explainJob(request: ShowRequest, out: StreamObserver<JobExplanation>) {
        val snapshot = control.publisher.current
        if (request.name in snapshot.jobs || !JobCodec.isId(request.name) || stopping) {
            return read(request.atLeast, out) { explain(it, request.name) }
        }
        if (!places.tryAcquire()) return out.onError(busy())
        post {
            finished.find(request.name) { found ->
                places.release()
                explainFinished(request.name, found, out)
            }
        }
    }

    private fun explain(snapshot: FleetSnapshot, id: String): JobExplanation =
        JobExplainer(snapshot, settings.teams).explain(snapshot.jobs[id] ?: throw notFound("no job $id"))

    private fun explainFinished(id: String, found: FinishedLook, out: StreamObserver<JobExplanation>) {
        when (found) {
            is FinishedLook.Absent -> out.onError(notFound("no job $id"))
            is FinishedLook.Unclear -> out.onError(unavailable("the state service does not answer"))
            is FinishedLook.Found -> {
                val phase = if (found.job.aborted) "cancelled" else "done"
                val explanation = JobExplanation.newBuilder().setRevision(
                    control.publisher.current.revision.toLong(),
                ).setJob(id)
                    .setState("over").setDone(found.job.done).setReason(phase).setDetail("the job is over: $phase")
                out.onNext(explanation.build())
                out.onCompleted()
            }
        }
    }

    override fun startDrain(request: StartDrainRequest, out: StreamObserver<DrainReply>) {
        val s = request.selector
        val selector = Selector(
            s.machinesList.toSet(),
            s.machineType.ifEmpty { null },
            s.zone.ifEmpty { null },
            if (s.hasOlderThanS()) s.olderThanS else null,
            if (s.hasPercent()) s.percent else null,
        )
        order(DrainOrder.Start(request.id, selector), out)
    }

    override fun changeDrain(request: ChangeDrainRequest, out: StreamObserver<DrainReply>) {
        val order = when (request.change) {
            Change.PAUSE -> DrainOrder.Pause(request.id)
            Change.RESUME -> DrainOrder.Resume(request.id)
            Change.CANCEL -> DrainOrder.Cancel(request.id)
            else -> return out.onError(
                Status.INVALID_ARGUMENT.withDescription("no such change of a drain").asRuntimeException(),
            )
        }
        order(order, out)
    }

    override fun listZones(request: ReadRequest, out: StreamObserver<ZoneList>) = read(request.atLeast, out) { s ->
        val answers = ZoneAnswers(s, settings.teams)
        ZoneList.newBuilder().setRevision(
            s.revision.toLong(),
        ).addAllZones(answers.zones()).addAllShares(answers.shares()).build()
    }

    override fun showZone(request: ShowRequest, out: StreamObserver<ZoneReply>) = read(request.atLeast, out) {
        zoneReply(it, request.name)
    }

    private fun zoneReply(s: FleetSnapshot, name: String): ZoneReply {
        val answers = ZoneAnswers(s, settings.teams)
        val zone = answers.zone(name) ?: throw notFound("no zone $name")
        return ZoneReply.newBuilder().setRevision(
            s.revision.toLong(),
        ).setZone(zone).addAllShares(answers.shares()).build()
    }

    override fun abandonZone(request: AbandonZoneRequest, out: StreamObserver<ZoneReply>) =
        order<AbandonOrder, ZoneReply>(out, { done ->
            control.abandon(request.zone, request.jobClass, done)
        }) { recorded ->
            val s = control.publisher.current
            val order = recorded.record
            zoneReply(
                s.copy(revision = maxOf(s.revision, recorded.revision), abandons = s.abandons.put(order.name, order)),
                request.zone,
            )
        }

    private fun answers(s: FleetSnapshot) = Answers(s, LedgerLimits.maxEntries(settings.stateLimits))

    private fun needFiles(s: FleetSnapshot) {
        val without = s.membersWithoutConfig()
        if (without.isEmpty() && s.assignment != null) return
        throw Status.FAILED_PRECONDITION.withDescription(
            "controllers without a fleet file: ${without.joinToString()}",
        ).asRuntimeException()
    }

    /**
     * Answers from a snapshot of revision [atLeast] or later; refuses at once where this node has none, so that another
     * is asked.
     */
    private fun <T> read(atLeast: Long, out: StreamObserver<T>, answer: (FleetSnapshot) -> T) = guarded(out) {
        val snapshot = control.publisher.current
        when {
            snapshot.revision == 0uL -> throw unavailable("this node has not read its view yet")
            snapshot.revision < atLeast.toULong() -> throw unavailable("this node is at revision ${snapshot.revision}")
        }
        out.onNext(answer(snapshot))
        out.onCompleted()
    }

    private fun <T> guarded(out: StreamObserver<T>, block: () -> Unit) {
        if (stopping) return out.onError(unavailable("this node is stopping"))
        if (!places.tryAcquire()) return out.onError(busy())
        try {
            block()
        } catch (e: StatusRuntimeException) {
            out.onError(e)
        } catch (e: RuntimeException) {
            log.error("internal fault", e)
            out.onError(Status.INTERNAL.withDescription("internal fault, see the node's log").asRuntimeException())
        } finally {
            places.release()
        }
    }

    private fun order(order: DrainOrder, out: StreamObserver<DrainReply>) =
        order<DrainRecord, DrainReply>(out, { done -> control.order(order, done) }) { recorded ->
            val s = control.publisher.current
            val drain = answers(
                s.copy(drains = s.drains.put(recorded.record.id, recorded.record)),
            ).drain(recorded.record.id)
            DrainReply.newBuilder().setRevision(recorded.revision.toLong()).setDrain(drain).build()
        }

    /** Hands an order to the owner thread by [take] and answers once, with what [reply] makes of its record. */
    private fun <R, T> order(
        out: StreamObserver<T>,
        take: ((OrderResult<R>) -> Unit) -> Unit,
        reply: (OrderResult.Recorded<out R>) -> T,
    ) {
        if (stopping) return out.onError(unavailable("this node is stopping"))
        if (!places.tryAcquire()) return out.onError(busy())
        val once = AtomicBoolean()
        post {
            take { result ->
                if (once.compareAndSet(false, true)) {
                    places.release()
                    answer(result, out, reply)
                }
            }
        }
    }

    private fun <R, T> answer(
        result: OrderResult<R>,
        out: StreamObserver<T>,
        reply: (OrderResult.Recorded<out R>) -> T,
    ) {
        when (result) {
            is OrderResult.Recorded -> try {
                out.onNext(reply(result))
                out.onCompleted()
            } catch (e: StatusRuntimeException) {
                out.onError(e)
            }
            is OrderResult.Refused -> out.onError(
                OrderStatus.of(result.fault).withDescription(result.message).asRuntimeException(),
            )
        }
    }

    private fun notFound(message: String) = Status.NOT_FOUND.withDescription(message).asRuntimeException()

    private fun unavailable(message: String) = Status.UNAVAILABLE.withDescription(message).asRuntimeException()

    private fun busy() = Status.RESOURCE_EXHAUSTED.withDescription("too many calls at once").asRuntimeException()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.operator")

        /** Calls under way at once: operators and their scripts, not users. */
        const val MAX_AT_ONCE = 32
    }
}

/** How refusals of orders are told on the wire. */
object OrderStatus {
    /** The status of a [fault]. */
    fun of(fault: OrderFault): Status = when (fault) {
        OrderFault.NOT_FOUND -> Status.NOT_FOUND
        OrderFault.INVALID -> Status.INVALID_ARGUMENT
        OrderFault.CONFLICT -> Status.FAILED_PRECONDITION
        OrderFault.UNAVAILABLE -> Status.ABORTED
        OrderFault.UNKNOWN -> Status.UNKNOWN
    }
}
