package flaxfield.store

import flaxfield.jobs.Job
import flaxfield.jobs.Placement

/** A task's record on a machine, with its job. */
data class PlacedTask(val job: Job, val placed: Placement)
