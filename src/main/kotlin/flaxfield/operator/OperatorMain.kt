package flaxfield.operator

import flaxfield.cli.OperatorEntry
import flaxfield.client.OperatorCommands
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings

/** The entry of the operators' jar; made by name. */
class OperatorMain : OperatorEntry {
    override fun command(arguments: Array<String>): Int = OperatorCommands.run(arguments)

    override fun serve(settings: Settings, operator: OperatorSettings, incarnation: String, fleet: String): Nothing =
        FleetStart(settings, fleet).serve(operator, incarnation)
}
