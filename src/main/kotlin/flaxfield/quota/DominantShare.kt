package flaxfield.quota

import flaxfield.settings.Team

/** Computes dominant shares, as in dominant-resource fairness, relative to the guarantees of teams. Pure functions. */
object DominantShare {
    /**
     * Returns the dominant share of [cpus] and [gpus], the larger of their fractions of the guarantee of [team]. A
     * resource that is not guaranteed does not count. For a team without any guarantee, one unit of each is assumed.
     */
    fun of(cpus: Double, gpus: Double, team: Team?): Double {
        if (team == null || team.cpus <= 0.0 && team.gpus <= 0.0) return maxOf(cpus, gpus)
        return maxOf(if (team.cpus > 0.0) cpus / team.cpus else 0.0, if (team.gpus > 0.0) gpus / team.gpus else 0.0)
    }
}
