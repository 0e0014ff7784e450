package flaxfield.client

import flaxfield.operator.v1.AbandonZoneRequest
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** `zone`: shows zones and abandons what a lost one held; see docs/operating-zones.md. */
@Command(
    name = "zone",
    description = ["Tells how zones stand, and gives up on what a lost one held."],
    mixinStandardHelpOptions = true,
    subcommands = [ZoneList::class, ZoneShow::class, ZoneAbandon::class],
)
internal class ZoneCommand

@Command(
    name = "list",
    description = ["Lists the zones, and how teams stand against their fair parts."],
    mixinStandardHelpOptions = true,
)
private class ZoneList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.zones(client.call { it.listZones(options.read()) }, options.output)
        return ExitCode.OK
    }
}

@Command(name = "show", description = ["Shows one zone."], mixinStandardHelpOptions = true)
private class ZoneShow : ControllerCommand() {
    @Parameters(paramLabel = "ZONE")
    lateinit var zone: String

    override fun run(client: OperatorClient): ExitCode {
        Output.zone(client.call { it.showZone(options.show(zone)) }, options.output)
        return ExitCode.OK
    }
}

@Command(
    name = "abandon",
    description = [
        "Gives up on what a class that forbids repeats had in a zone at its latest loss: its tasks " +
            "may be started again.",
    ],
    mixinStandardHelpOptions = true,
)
private class ZoneAbandon : ControllerCommand() {
    @Parameters(paramLabel = "ZONE")
    lateinit var zone: String

    @Option(
        names = ["--class"],
        paramLabel = "CLASS",
        required = true,
        description = ["the class of jobs that is given up there"],
    )
    lateinit var jobClass: String

    override fun run(client: OperatorClient): ExitCode {
        val request = AbandonZoneRequest.newBuilder().setZone(zone).setJobClass(jobClass).build()
        Output.zone(client.call { it.abandonZone(request) }, options.output)
        return ExitCode.OK
    }
}
