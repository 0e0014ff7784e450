package flaxfield.client

/** Exit codes of the operators' commands; scripts rely on the numbers. */
enum class ExitCode(val number: Int) {
    /** The command was carried out. */
    OK(0),

    /** The command line is invalid, or the request is. */
    USAGE(2),

    /** An internal error of the client or of the controller. */
    INTERNAL(3),

    /** A drain, machine, team or job of that name does not exist. */
    NOT_FOUND(4),

    /** The request conflicts with the present state: a finished drain, or a controller without a fleet file. */
    CONFLICT(5),

    /** No controller could be reached, or none had the requested revision. */
    UNREACHABLE(6),

    /** The order can't be recorded now, and was not. */
    NOT_NOW(7),

    /** The state service has not answered: the order may be recorded. Repeating it under its id is safe. */
    UNKNOWN_OUTCOME(8),

    /** With --wait: the drain did not finish in time, or did not end as done. */
    NOT_DONE(9),
}

/** The failure of a command: a message of one line, and an exit code. */
class ClientFault(val code: ExitCode, message: String, cause: Throwable? = null) : Exception(message, cause)
