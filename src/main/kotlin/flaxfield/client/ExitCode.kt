package flaxfield.client

/** The exit codes of the operators' commands; scripts rely on the numbers. */
enum class ExitCode(val number: Int) {
    /** The command succeeded. */
    OK(0),

    /** The command line or the request is invalid. */
    USAGE(2),

    /** An internal error of the client or of the controller. */
    INTERNAL(3),

    /** The named drain, machine, machine type, zone, team or job does not exist. */
    NOT_FOUND(4),

    /** The request conflicts with the current state, such as a finished drain or a controller without a fleet file. */
    CONFLICT(5),

    /** No controller could be reached, or none had the requested revision. */
    UNREACHABLE(6),

    /** The order was not recorded because a limit or an outage prevents it now; it may succeed later. */
    NOT_NOW(7),

    /** The state service did not respond: the order may have been recorded. Repeating it with the same id is safe. */
    UNKNOWN_OUTCOME(8),

    /** With `--wait`: the drain did not end before the timeout, or ended in another state than done. */
    NOT_DONE(9),
}

/** Thrown if a command fails, with the exit code and a message of one line. */
class ClientException(val code: ExitCode, message: String, cause: Throwable? = null) : Exception(message, cause)
