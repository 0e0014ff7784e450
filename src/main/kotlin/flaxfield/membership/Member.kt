package flaxfield.membership

/** One run of one controller process: its name, the random [incarnation] drawn at its start, and its zone. */
data class Member(val name: String, val incarnation: String, val zone: String) {
    /** Whether [other] is the same run of the same process; its zone does not matter. */
    fun isSameProcess(other: Member?): Boolean = other != null && other.name == name && other.incarnation == incarnation
}
