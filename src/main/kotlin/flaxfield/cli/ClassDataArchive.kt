package flaxfield.cli

/** Checks whether the JVM uses a class-data archive (CDS). Without one, startup takes three times as long. */
object ClassDataArchive {
    /** An item of `java.vm.info` if an archive is in use; the JVM ignores a stale or missing one without a message. */
    private const val IN_USE = "sharing"

    /** Returns a warning if [vmInfo], the value of `java.vm.info`, shows that no archive is in use; null otherwise. */
    fun warning(vmInfo: String?): String? {
        if (vmInfo?.split(", ")?.contains(IN_USE) == true) return null
        return "the class-data archive is missing, or was created by another build or JVM: " +
            "startup takes longer until the project is rebuilt"
    }
}
