package flaxfield.quota

import flaxfield.settings.Team

/** Pure: dominant-resource fairness, by the resource of which an amount is the larger share of a guarantee. */
object DominantShare {
    /**
     * The share that [cpus] and [gpus] are of the guarantee of [team]. A resource that is not guaranteed does not
     * count; for a team without any guarantee one unit of each stands for it.
     */
    fun of(cpus: Double, gpus: Double, team: Team?): Double {
        if (team == null || team.cpus <= 0.0 && team.gpus <= 0.0) return maxOf(cpus, gpus)
        return maxOf(if (team.cpus > 0.0) cpus / team.cpus else 0.0, if (team.gpus > 0.0) gpus / team.gpus else 0.0)
    }
}
