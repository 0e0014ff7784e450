package flaxfield.jobs

/**
 * What a machine has left for further tasks: its free resources, and the bytes of its heartbeat that are not taken by
 * its tasks yet. The only place that decides how many tasks of a job fit on a machine.
 */
data class MachineRoom(val resources: Resources, val reportBytes: Int = MessageSize.MAX_CONTENT_BYTES) {
    /** Whether one more task of [spec] fits. */
    fun canHold(spec: JobSpec): Boolean = reportBytes >= spec.reportBytes && resources.canHold(spec.taskResources)

    /** Returns how many more tasks of [spec] fit. */
    fun countFitting(spec: JobSpec): Int =
        minOf(resources.countFitting(spec.taskResources), (reportBytes / spec.reportBytes).coerceAtLeast(0))

    /** Returns the room that is left with [count] more tasks of [spec]. */
    fun minus(spec: JobSpec, count: Int = 1) =
        MachineRoom(resources - spec.taskResources * count, reportBytes - spec.reportBytes * count)

    /** Returns the room that is left without [count] tasks of [spec]. */
    fun plus(spec: JobSpec, count: Int = 1) =
        MachineRoom(resources + spec.taskResources * count, reportBytes + spec.reportBytes * count)

    /** Returns the room that is left once tasks that take [freed] have gone. */
    operator fun plus(freed: MachineRoom) = MachineRoom(resources + freed.resources, reportBytes + freed.reportBytes)

    /** Returns the room that is left with further tasks that take [taken]. */
    operator fun minus(taken: MachineRoom) = MachineRoom(resources - taken.resources, reportBytes - taken.reportBytes)

    companion object {
        val NONE = MachineRoom(Resources.NONE, 0)
    }
}
