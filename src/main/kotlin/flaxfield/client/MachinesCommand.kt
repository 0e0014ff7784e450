package flaxfield.client

import picocli.CommandLine.Command

/** `machines`: shows the fleet's machines. */
@Command(name = "machines", mixinStandardHelpOptions = true, subcommands = [MachineList::class])
internal class MachinesCommand

@Command(
    name = "list",
    description = ["Lists the machines, their drains and the teams on them."],
    mixinStandardHelpOptions = true,
)
private class MachineList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.machines(client.call { it.listMachines(options.read()) }, options.output)
        return ExitCode.OK
    }
}
