package flaxfield.membership

/** A controller process: its name, the random [incarnation] that it generates at startup, and its zone. */
data class Member(val name: String, val incarnation: String, val zone: String) {
    /** Whether [other] has the same name and incarnation; the zone is ignored. */
    fun isSameProcess(other: Member?): Boolean = other != null && other.name == name && other.incarnation == incarnation
}
