package flaxfield.cli

/** Whether the JVM runs with a class-data archive; it goes on without one, only its start takes three times as long. */
object ClassDataArchive {
    /**
     * The JVM's description of itself names this when an archive is mapped; a missing, foreign or stale one is passed
     * over.
     */
    private const val IN_USE = "sharing"

    /** What an operator should know of the archive, given the JVM's `java.vm.info`; null if it is in use. */
    fun warning(vmInfo: String?): String? {
        if (vmInfo?.split(", ")?.contains(IN_USE) == true) return null
        return "no class-data archive in use (missing, or made by another build or JVM): starts take longer; build again to make one"
    }
}
