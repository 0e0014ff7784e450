package flaxfield.fleet

/** The cloud's response to a rental. */
sealed interface RentalResponse {
    /** The machines called [names] have been rented, possibly fewer than requested. */
    data class Granted(val names: List<String>) : RentalResponse

    /** The cloud has no capacity for the offer at present. */
    data object NoCapacity : RentalResponse

    /** The cloud rejects the request as malformed, so that repeating it is of no use. */
    data object Rejected : RentalResponse

    /** The outcome is unknown (no response or a transient error): the request is repeated under the same name. */
    data object Unknown : RentalResponse
}

/** A machine in the cloud's list; [failed] if it terminated on its own. */
data class ListedMachine(val machineName: String, val failed: Boolean)

/** A page of the cloud's list, ordered by machine name; [hasMore] if further pages follow. */
data class MachineListPage(val machines: List<ListedMachine>, val hasMore: Boolean)
