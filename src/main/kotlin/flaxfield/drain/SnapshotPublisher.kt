package flaxfield.drain

import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.store.ClusterView
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreKeys
import flaxfield.store.ViewObserver
import flaxfield.zones.AbandonCodec
import kotlinx.collections.immutable.PersistentMap
import org.slf4j.LoggerFactory

/**
 * Observes the view and publishes a [FleetSnapshot] at each revision that the view reaches. It replaces only what has
 * changed. The owner thread writes; any thread may read [current].
 */
class SnapshotPublisher(private val view: ClusterView) : ViewObserver {
    /** The latest snapshot of a complete view. */
    @Volatile
    var current = FleetSnapshot()
        private set

    /** Whether the view is complete: false while it is being listed, initially or again after it was cleared. */
    var isComplete = false
        private set

    /** The snapshot under construction: [changed] applies fleet records to it, [publish] applies the rest. */
    private var next = FleetSnapshot()
    private val changedJobs = HashSet<String>()
    private val changedMachines = HashSet<String>()
    private var statusesChanged = false

    /** The ids of the jobs with lost tasks that have not yet been proven to run again. */
    val jobsWithLosses = HashSet<String>()

    override fun changed(item: KeyUpdate) {
        val key = item.key
        when {
            key.startsWith(StoreKeys.FLEET) -> applyFleetRecord(item)
            key.startsWith(StoreKeys.JOB) -> changedJobs += key.removePrefix(StoreKeys.JOB)
            key.startsWith(StoreKeys.JOB_CHUNK) ->
                changedJobs += key.removePrefix(StoreKeys.JOB_CHUNK).substringBefore('/')
            key.startsWith(StoreKeys.MACHINE) -> changedMachines += key.removePrefix(StoreKeys.MACHINE)
            key.startsWith(StoreKeys.SHARD_SUMMARY) || key == StoreKeys.ASSIGNMENT -> statusesChanged = true
        }
    }

    override fun cleared() {
        isComplete = false
        next = FleetSnapshot()
        changedJobs.clear()
        changedMachines.clear()
        jobsWithLosses.clear()
        statusesChanged = true
    }

    /** Publishes a snapshot of the view, which must be complete at its revision. */
    fun publish() {
        // A change of the shard summaries or of the assignment may change the status of any machine.
        val machineNames = if (statusesChanged) changedMachines + next.machines.keys else changedMachines
        next = next.copy(
            revision = view.revision,
            assignment = view.assignment,
            jobs = updatedJobs(),
            machines = updatedMachines(machineNames),
            machineStatuses = updatedStatuses(machineNames),
            machineTypes = view.machineTypes,
            zones = if (next.zones == view.zones) next.zones else HashMap(view.zones),
        )
        changedJobs.clear()
        changedMachines.clear()
        statusesChanged = false
        isComplete = true
        current = next
    }

    private fun updatedJobs(): PersistentMap<String, Job> {
        var jobs = next.jobs
        for (id in changedJobs) {
            val job = view.jobs[id]
            jobs = jobs.set(id, job)
            val hasLosses = job != null && job.chunks.values.any { it.interrupted.isNotEmpty() }
            if (hasLosses) jobsWithLosses += id else jobsWithLosses -= id
            // Computes lazy values on the owner thread, since their initialization is not thread-safe.
            job?.run { doneCount + placedCount }
        }
        return jobs
    }

    private fun updatedMachines(names: Set<String>): PersistentMap<String, Machine> {
        var machines = next.machines
        for (name in names) machines = machines.set(name, view.machines[name])
        return machines
    }

    private fun updatedStatuses(names: Set<String>): PersistentMap<String, MachineStatus> {
        var statuses = next.machineStatuses
        for (name in names) statuses = statuses.set(name, view.machineStatus(name))
        return statuses
    }

    private fun applyFleetRecord(item: KeyUpdate) {
        try {
            next = withFleetRecord(item)
        } catch (fault: RuntimeException) {
            // An undecodable record must not stall the view: the snapshot skips the change.
            log.error(
                "event=record_unreadable key={} version={} reason=\"{}\"",
                item.key,
                item.version,
                fault.toString(),
            )
        }
    }

    private fun withFleetRecord(item: KeyUpdate): FleetSnapshot {
        val key = item.key
        val value = item.value
        val version = item.version
        return when {
            key.startsWith(FleetKeys.DRAIN) -> {
                val id = key.removePrefix(FleetKeys.DRAIN)
                next.copy(drains = next.drains.set(id, value?.let { DrainCodec.drain(id, it, version) }))
            }
            key.startsWith(FleetKeys.LEDGER) -> {
                val team = key.removePrefix(FleetKeys.LEDGER)
                next.copy(ledgers = next.ledgers.set(team, value?.let { DrainCodec.ledger(team, it, version) }))
            }
            key.startsWith(FleetKeys.CONFIG) -> {
                val controller = key.removePrefix(FleetKeys.CONFIG)
                next.copy(configs = next.configs.set(controller, value?.let(DrainCodec::config)))
            }
            key.startsWith(FleetKeys.ABANDON) -> {
                val name = key.removePrefix(FleetKeys.ABANDON)
                next.copy(abandons = next.abandons.set(name, value?.let { AbandonCodec.decode(name, it, version) }))
            }
            key.startsWith(FleetKeys.LOSS) -> {
                val controller = key.removePrefix(FleetKeys.LOSS)
                next.copy(lossMarks = next.lossMarks.set(controller, version))
            }
            else -> next
        }
    }

    private fun <V : Any> PersistentMap<String, V>.set(key: String, value: V?): PersistentMap<String, V> =
        if (value == null) remove(key) else put(key, value)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
