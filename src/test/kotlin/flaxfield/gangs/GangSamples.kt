package flaxfield.gangs

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources

/** Builders of gangs and candidates for the tests of this package, all for one task size. */
internal object GangSamples {
    fun gang(taskCount: Int, sameZone: Boolean = false, spreadAcrossZones: Boolean = false) = Samples.job(
        Samples.spec(
            jobKind = JobKind.GANG,
            taskCount = taskCount,
            sameZone = sameZone,
            spreadAcrossZones = spreadAcrossZones,
            preemptible = false,
        ),
    )

    /** Returns a candidate with free resources for [tasks] tasks. */
    fun candidate(name: String, tasks: Int, zone: String = "a", preemptible: Boolean = false, images: Set<String> = emptySet()) =
        Samples.candidate(name, Resources(4.0, 1.0, 16.0) * tasks, zone, preemptible, images)
}
