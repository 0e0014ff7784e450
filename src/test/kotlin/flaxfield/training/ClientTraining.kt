package flaxfield.training

import flaxfield.client.OperatorCommands
import flaxfield.operator.v1.Budget
import flaxfield.operator.v1.BudgetList
import flaxfield.operator.v1.Drain
import flaxfield.operator.v1.DrainList
import flaxfield.operator.v1.DrainReply
import flaxfield.operator.v1.JobExplanation
import flaxfield.operator.v1.Machine
import flaxfield.operator.v1.MachineList
import flaxfield.operator.v1.OperatorGrpc
import flaxfield.operator.v1.ReadRequest
import flaxfield.operator.v1.ShowRequest
import flaxfield.operator.v1.StartDrainRequest
import flaxfield.operator.v1.Wait
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import java.io.OutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import kotlin.system.exitProcess

/** Answers every call with one row. */
private class OneRow : OperatorGrpc.OperatorImplBase() {
    private val drain = Drain.newBuilder().setId("d-1").setState("waiting")
        .addWaits(Wait.newBuilder().setMachine("host-1").setReason("budget_spent").setDetail("…")).build()

    private fun <T> answer(out: StreamObserver<T>, value: T) {
        out.onNext(value)
        out.onCompleted()
    }

    override fun startDrain(request: StartDrainRequest, out: StreamObserver<DrainReply>) =
        answer(out, DrainReply.newBuilder().setDrain(drain).build())

    override fun showDrain(request: ShowRequest, out: StreamObserver<DrainReply>) =
        answer(out, DrainReply.newBuilder().setDrain(drain).build())

    override fun listDrains(request: ReadRequest, out: StreamObserver<DrainList>) =
        answer(out, DrainList.newBuilder().addDrains(drain).build())

    override fun listBudgets(request: ReadRequest, out: StreamObserver<BudgetList>) =
        answer(out, BudgetList.newBuilder().addBudgets(Budget.newBuilder().setTeam("red")).build())

    override fun listMachines(request: ReadRequest, out: StreamObserver<MachineList>) =
        answer(out, MachineList.newBuilder().addMachines(Machine.newBuilder().setName("host-1")).build())

    override fun explainJob(request: ShowRequest, out: StreamObserver<JobExplanation>) =
        answer(out, JobExplanation.newBuilder().setJob(request.name).build())
}

/** Runs the client's commands once, so that the build learns which classes they load; the stand-in is on loopback. */
fun main() {
    val server = NettyServerBuilder.forAddress(
        InetSocketAddress(StandInServer.LOOPBACK, 0),
    ).addService(OneRow()).build().start()
    val endpoint = arrayOf("--endpoint", "${StandInServer.LOOPBACK}:${server.port}")
    System.setOut(PrintStream(OutputStream.nullOutputStream()))
    val commands = listOf(
        "drain start --zone a",
        "drain show d-1",
        "drain list --output json",
        "budget list",
        "machines list",
        "explain job job-1",
        "drain",
    )
    val codes = commands.map {
        OperatorCommands.run(
            it.split(' ').toTypedArray() + if (it == "drain") emptyArray() else endpoint,
        )
    }
    System.err.println("client training: exit codes $codes")
    exitProcess(if (codes.dropLast(1).all { it == 0 }) 0 else 1)
}
