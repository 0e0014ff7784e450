package flaxfield.store

import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team

/** Aggregates over all jobs, cached until a job changes. Used only by the owner thread. */
internal class JobAggregates(private val jobs: JobRecords) {
    private var usageAtVersion = NEVER
    private var usage: TeamUsage? = null
    private var guaranteedAtVersion = NEVER
    private var guaranteedIds: Set<String> = emptySet()

    /** Returns a copy of the teams' current usage, which the caller may modify. */
    fun usage(teams: Map<String, Team>): TeamUsage {
        val current = usage?.takeIf { usageAtVersion == jobs.version } ?: TeamUsage(jobs.byId.values, teams)
        usage = current
        usageAtVersion = jobs.version
        return current.copy()
    }

    /** Returns the ids of the jobs that are within their team's guarantee now. */
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
