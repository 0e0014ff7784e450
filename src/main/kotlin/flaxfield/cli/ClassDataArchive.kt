package flaxfield.cli

/** Whether the JVM runs with a class-data archive. Without one it works, but its start takes three times as long. */
object ClassDataArchive {
    /** Part of `java.vm.info` if an archive is in use; the JVM silently ignores a stale or missing one. */
    private const val IN_USE = "sharing"

    /** A warning that no archive is in use, by the value of `java.vm.info`; null if one is. */
    fun warning(vmInfo: String?): String? {
        if (vmInfo?.split(", ")?.contains(IN_USE) == true) return null
        return "no class-data archive in use (missing, or made by another build or JVM): " +
            "starts take longer; build again to make one"
    }
}
