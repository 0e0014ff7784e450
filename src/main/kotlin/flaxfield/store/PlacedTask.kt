package flaxfield.store

import flaxfield.jobs.Job
import flaxfield.jobs.Placement

/** A placed task with its job. */
data class PlacedTask(val job: Job, val placed: Placement)
