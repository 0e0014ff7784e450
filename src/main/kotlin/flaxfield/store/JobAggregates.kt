package flaxfield.store

import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team

/** Figures derived from all jobs, kept for as long as no job changes. Owned by the owner thread. */
internal class JobAggregates(private val jobs: JobRecords) {
    private var usageAtVersion = NEVER
    private var usage: TeamUsage? = null
    private var guaranteedAtVersion = NEVER
    private var guaranteedIds: Set<String> = emptySet()

    /** What the teams use now; the caller may add to its copy. */
    fun usage(teams: Map<String, Team>): TeamUsage {
        val current = usage?.takeIf { usageAtVersion == jobs.version } ?: TeamUsage(jobs.byId.values, teams)
        usage = current
        usageAtVersion = jobs.version
        return current.copy()
    }

    /** The ids of the jobs within their team's guarantee now. */
    fun guaranteed(teams: Map<String, Team>): Set<String> {
        if (guaranteedAtVersion != jobs.version) {
            guaranteedIds = JobOrder.guaranteed(jobs.byId.values, teams)
            guaranteedAtVersion = jobs.version
        }
        return guaranteedIds
    }

    private companion object {
        const val NEVER = -1L
    }
}
