package flaxfield.operator

import flaxfield.drain.FleetConfig
import flaxfield.settings.Address

/** The contents of a fleet file: the address on which operators are served, and the budgets. */
data class FleetFile(val listen: Address, val config: FleetConfig)

/** A fleet file that is invalid: each of [faults] is one line. */
class FleetFileException(val faults: List<String>, cause: Throwable? = null) :
    Exception(faults.joinToString("\n"), cause)
