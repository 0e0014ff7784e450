package flaxfield.operator

import flaxfield.controller.Clock
import flaxfield.drain.DrainOrder
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetControl
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.LedgerLimits
import flaxfield.drain.Selector
import flaxfield.jobs.GangTransactionSize
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
import io.grpc.stub.StreamObserver

/**
 * The operators' gRPC service. Reads use the latest snapshot. Orders are recorded by the owner thread, and are answered
 * once they are committed.
 */
class OperatorService(
    private val control: FleetControl,
    private val settings: Settings,
    /** Posts work to the owner thread. */
    post: (() -> Unit) -> Unit,
    private val finishedJobs: FinishedJobReader,
    private val clock: Clock = Clock.System,
) : OperatorGrpc.OperatorImplBase() {
    private val calls = CallExecutor({ control.publisher.current }, post)

    /** Refuses all further calls. */
    fun stop() = calls.stop()

    override fun listDrains(request: ReadRequest, observer: StreamObserver<DrainList>) =
        calls.read(request.atLeast, observer) { snapshot ->
            DrainList.newBuilder()
                .setRevision(snapshot.revision.toLong())
                .addAllDrains(drainResponses(snapshot).drains())
                .build()
        }

    override fun showDrain(request: ShowRequest, observer: StreamObserver<DrainReply>) =
        calls.read(request.atLeast, observer) { snapshot ->
            val drain = drainResponses(snapshot).drain(request.name)
                ?: throw CallStatus.notFound("no drain ${request.name}")
            DrainReply.newBuilder().setRevision(snapshot.revision.toLong()).setDrain(drain).build()
        }

    override fun listBudgets(request: ReadRequest, observer: StreamObserver<BudgetList>) =
        calls.read(request.atLeast, observer) { snapshot ->
            requireConfigs(snapshot)
            BudgetList.newBuilder()
                .setRevision(snapshot.revision.toLong())
                .addAllBudgets(BudgetResponses(snapshot).budgets())
                .build()
        }

    override fun showBudget(request: ShowRequest, observer: StreamObserver<BudgetReply>) =
        calls.read(request.atLeast, observer) { snapshot ->
            requireConfigs(snapshot)
            if (request.name !in settings.teams) throw CallStatus.notFound("no team ${request.name}")
            BudgetReply.newBuilder()
                .setRevision(snapshot.revision.toLong())
                .setBudget(BudgetResponses(snapshot).budgetOf(request.name))
                .build()
        }

    override fun listMachines(request: ReadRequest, observer: StreamObserver<MachineList>) =
        calls.read(request.atLeast, observer) { snapshot ->
            MachineList.newBuilder()
                .setRevision(snapshot.revision.toLong())
                .addAllMachines(MachineResponses(snapshot).machines())
                .build()
        }

    /** Explains a job of the view; any other job may have finished, and is looked up in the state service. */
    override fun explainJob(request: ShowRequest, observer: StreamObserver<JobExplanation>) {
        val id = request.name
        if (id in control.publisher.current.jobs || !JobCodec.isId(id) || calls.isStopping) {
            return calls.read(request.atLeast, observer) { explain(it, id) }
        }
        calls.onOwnerThread(observer, { done -> finishedJobs.find(id, done) }) { result ->
            explainFinished(id, result, observer)
        }
    }

    private fun explain(snapshot: FleetSnapshot, id: String): JobExplanation {
        val job = snapshot.jobs[id] ?: throw CallStatus.notFound("no job $id")
        return JobExplainer(
            snapshot,
            settings.teams,
            GangTransactionSize(settings.stateLimits),
            clock.wallClockMs(),
        ).explain(job)
    }

    private fun explainFinished(id: String, result: FinishedJobResult, observer: StreamObserver<JobExplanation>) {
        when (result) {
            is FinishedJobResult.Absent -> observer.onError(CallStatus.notFound("no job $id"))
            is FinishedJobResult.Unavailable ->
                observer.onError(CallStatus.unavailable("the state service does not answer"))
            is FinishedJobResult.Found -> {
                observer.onNext(JobExplainer.finished(id, result.job, control.publisher.current.revision))
                observer.onCompleted()
            }
        }
    }

    override fun startDrain(request: StartDrainRequest, observer: StreamObserver<DrainReply>) {
        val requested = request.selector
        val selector = Selector(
            machines = requested.machinesList.toSet(),
            machineType = requested.machineType.ifEmpty { null },
            zone = requested.zone.ifEmpty { null },
            olderThanS = if (requested.hasOlderThanS()) requested.olderThanS else null,
            percent = if (requested.hasPercent()) requested.percent else null,
        )
        order(DrainOrder.Start(request.id, selector), observer)
    }

    override fun changeDrain(request: ChangeDrainRequest, observer: StreamObserver<DrainReply>) {
        val order = when (request.change) {
            Change.PAUSE -> DrainOrder.Pause(request.id)
            Change.RESUME -> DrainOrder.Resume(request.id)
            Change.CANCEL -> DrainOrder.Cancel(request.id)
            else -> return observer.onError(CallStatus.invalid("the change must be PAUSE, RESUME or CANCEL"))
        }
        order(order, observer)
    }

    private fun order(order: DrainOrder, observer: StreamObserver<DrainReply>) =
        calls.order<DrainRecord, DrainReply>(observer, { done -> control.order(order, done) }) { recorded ->
            val snapshot = control.publisher.current
            val record = recorded.record
            val withRecord = snapshot.copy(drains = snapshot.drains.put(record.id, record))
            DrainReply.newBuilder()
                .setRevision(recorded.revision.toLong())
                .setDrain(drainResponses(withRecord).drain(record.id))
                .build()
        }

    override fun listZones(request: ReadRequest, observer: StreamObserver<ZoneList>) =
        calls.read(request.atLeast, observer) { snapshot ->
            val responses = ZoneResponses(snapshot, settings.teams)
            ZoneList.newBuilder()
                .setRevision(snapshot.revision.toLong())
                .addAllZones(responses.zones())
                .addAllShares(responses.shares())
                .build()
        }

    override fun showZone(request: ShowRequest, observer: StreamObserver<ZoneReply>) =
        calls.read(request.atLeast, observer) { zoneReply(it, request.name) }

    override fun abandonZone(request: AbandonZoneRequest, observer: StreamObserver<ZoneReply>) =
        calls.order<AbandonOrder, ZoneReply>(observer, { done ->
            control.abandon(request.zone, request.jobClass, done)
        }) { recorded ->
            val snapshot = control.publisher.current
            val order = recorded.record
            val withOrder = snapshot.copy(
                revision = maxOf(snapshot.revision, recorded.revision),
                abandons = snapshot.abandons.put(order.name, order),
            )
            zoneReply(withOrder, request.zone)
        }

    private fun zoneReply(snapshot: FleetSnapshot, name: String): ZoneReply {
        val responses = ZoneResponses(snapshot, settings.teams)
        val zone = responses.zone(name) ?: throw CallStatus.notFound("no zone $name")
        return ZoneReply.newBuilder()
            .setRevision(snapshot.revision.toLong())
            .setZone(zone)
            .addAllShares(responses.shares())
            .build()
    }

    private fun drainResponses(snapshot: FleetSnapshot) =
        DrainResponses(snapshot, LedgerLimits.maxEntries(settings.stateLimits))

    /** Refuses the call while a controller's fleet file is unknown, since budgets are combined from all fleet files. */
    private fun requireConfigs(snapshot: FleetSnapshot) {
        val members = snapshot.membersWithoutConfig()
        if (members.isEmpty() && snapshot.assignment != null) return
        throw CallStatus.failedPrecondition("controllers without a fleet file: ${members.joinToString()}")
    }
}
