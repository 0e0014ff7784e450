package flaxfield.fleet

/** The cloud's answer to a rental. */
sealed interface RentalResponse {
    /** The machines [names] have been rented; they may be fewer than requested. */
    data class Granted(val names: List<String>) : RentalResponse

    /** The cloud has no such machines now. */
    data object NoCapacity : RentalResponse

    /** The cloud rejects the request: repeating it is of no use. */
    data object Rejected : RentalResponse

    /** No answer or a transient error: the request is repeated under the same name. */
    data object Unknown : RentalResponse
}

/** One machine of the cloud's list; [failed] if it has stopped by itself. */
data class ListedMachine(val machineName: String, val failed: Boolean)

/** One page of the cloud's list, in the order of machine names; [hasMore] if further pages follow. */
data class MachineListPage(val machines: List<ListedMachine>, val hasMore: Boolean)
