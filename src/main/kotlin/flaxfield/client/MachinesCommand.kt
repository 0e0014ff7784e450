package flaxfield.client

import picocli.CommandLine.Command

/** Lists the machines of the fleet. */
@Command(name = "machines", mixinStandardHelpOptions = true, subcommands = [MachineList::class])
internal class MachinesCommand

@Command(
    name = "list",
    description = ["Lists the machines with their drains and the teams that run on them."],
    mixinStandardHelpOptions = true,
)
private class MachineList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.machines(client.call { it.listMachines(options.readRequest()) }, options.output)
        return ExitCode.OK
    }
}
