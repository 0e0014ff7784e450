package flaxfield.operator

import flaxfield.cli.OperatorEntry
import flaxfield.client.OperatorCommands
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings

/** The entry point of the operators' jar, which [flaxfield.cli.OperatorJar] loads by its class name. */
class OperatorMain : OperatorEntry {
    override fun command(arguments: Array<String>): Int = OperatorCommands.run(arguments)

    override fun serve(settings: Settings, operator: OperatorSettings, incarnation: String, fleet: String): Nothing =
        FleetLauncher(settings, fleet).serve(operator, incarnation)
}
