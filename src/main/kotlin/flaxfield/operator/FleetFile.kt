package flaxfield.operator

import flaxfield.drain.FleetConfig
import flaxfield.settings.Address

/** The contents of a fleet file: the address of the operators' service and the fleet's configuration. */
data class FleetFile(val listen: Address, val config: FleetConfig)

/** Thrown if a fleet file is invalid; each of [errors] is one line. */
class FleetFileException(val errors: List<String>, cause: Throwable? = null) :
    Exception(errors.joinToString("\n"), cause)
