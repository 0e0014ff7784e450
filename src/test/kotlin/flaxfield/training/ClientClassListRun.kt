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

/** An operators' service that answers every call with a single row. */
private class SingleRowOperator : OperatorGrpc.OperatorImplBase() {
    private val drain = Drain.newBuilder().setId("d-1").setState("waiting")
        .addWaits(Wait.newBuilder().setMachine("host-1").setReason("budget_spent").setDetail("…")).build()

    private fun <T> respond(out: StreamObserver<T>, value: T) {
        out.onNext(value)
        out.onCompleted()
    }

    override fun startDrain(request: StartDrainRequest, out: StreamObserver<DrainReply>) =
        respond(out, DrainReply.newBuilder().setDrain(drain).build())

    override fun showDrain(request: ShowRequest, out: StreamObserver<DrainReply>) =
        respond(out, DrainReply.newBuilder().setDrain(drain).build())

    override fun listDrains(request: ReadRequest, out: StreamObserver<DrainList>) =
        respond(out, DrainList.newBuilder().addDrains(drain).build())

    override fun listBudgets(request: ReadRequest, out: StreamObserver<BudgetList>) =
        respond(out, BudgetList.newBuilder().addBudgets(Budget.newBuilder().setTeam("red")).build())

    override fun listMachines(request: ReadRequest, out: StreamObserver<MachineList>) =
        respond(out, MachineList.newBuilder().addMachines(Machine.newBuilder().setName("host-1")).build())

    override fun explainJob(request: ShowRequest, out: StreamObserver<JobExplanation>) =
        respond(out, JobExplanation.newBuilder().setJob(request.name).build())
}

/**
 * Runs each of the operators' commands once against a test server on loopback. The build records the classes that the
 * client loads and puts them into its class-data archive.
 */
fun main() {
    val server = NettyServerBuilder.forAddress(
        InetSocketAddress(SimulationServer.LOOPBACK, 0),
    ).addService(SingleRowOperator()).build().start()
    val endpoint = arrayOf("--endpoint", "${SimulationServer.LOOPBACK}:${server.port}")
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
    val exitCodes = commands.map { command ->
        OperatorCommands.run(command.split(' ').toTypedArray() + if (command == "drain") emptyArray() else endpoint)
    }
    System.err.println("client class-list run: exit codes $exitCodes")
    // The last command has no subcommand and ends with a usage error.
    exitProcess(if (exitCodes.dropLast(1).all { it == 0 }) 0 else 1)
}
