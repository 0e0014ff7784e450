package flaxfield.client

import flaxfield.operator.v1.AbandonZoneRequest
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Shows zones and abandons the held tasks of a lost zone; see docs/operating-zones.md. */
@Command(
    name = "zone",
    description = ["Shows the state of zones, and abandons the held tasks of a lost zone."],
    mixinStandardHelpOptions = true,
    subcommands = [ZoneList::class, ZoneShow::class, ZoneAbandon::class],
)
internal class ZoneCommand

@Command(
    name = "list",
    description = ["Lists the zones and compares each team's capacity with its fair share."],
    mixinStandardHelpOptions = true,
)
private class ZoneList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.zones(client.call { it.listZones(options.readRequest()) }, options.output)
        return ExitCode.OK
    }
}

@Command(name = "show", description = ["Shows a zone and the teams' fair shares."], mixinStandardHelpOptions = true)
private class ZoneShow : ControllerCommand() {
    @Parameters(paramLabel = "ZONE")
    lateinit var zone: String

    override fun run(client: OperatorClient): ExitCode {
        Output.zone(client.call { it.showZone(options.showRequest(zone)) }, options.output)
        return ExitCode.OK
    }
}

@Command(
    name = "abandon",
    description = [
        "Abandons the tasks of a job class that were in a zone when it was last lost, so that they may be restarted " +
            "although the class forbids restarts.",
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
        description = ["the job class whose tasks are abandoned"],
    )
    lateinit var jobClass: String

    override fun run(client: OperatorClient): ExitCode {
        val request = AbandonZoneRequest.newBuilder().setZone(zone).setJobClass(jobClass).build()
        Output.zone(client.call { it.abandonZone(request) }, options.output)
        return ExitCode.OK
    }
}
