package flaxfield.drain

import flaxfield.store.ClusterView
import flaxfield.store.KeyUpdate
import flaxfield.store.StoreKeys
import flaxfield.store.ViewObserver
import flaxfield.zones.AbandonCodec
import org.slf4j.LoggerFactory

/**
 * Follows the view and publishes a [FleetSnapshot] of each revision that it reaches. Only what has changed is replaced.
 * The owner thread writes; any thread may read [current].
 */
class SnapshotPublisher(private val view: ClusterView) : ViewObserver {
    /** The latest snapshot of a complete view. */
    @Volatile
    var current = FleetSnapshot()
        private set

    /** False between the moment when the view is read anew and the moment when it is complete again. */
    var complete = false
        private set

    /** The fleet's own records as they come in; the rest is taken from the view. */
    private var next = FleetSnapshot()
    private val changedJobs = HashSet<String>()
    private val changedMachines = HashSet<String>()
    private var statusesChanged = false

    /** Jobs that have lost tasks which are not known to run again. */
    val jobsWithLosses = HashSet<String>()

    override fun changed(item: KeyUpdate) {
        val key = item.key
        when {
            key.startsWith(StoreKeys.FLEET) -> fleetRecord(item)
            key.startsWith(StoreKeys.JOB) -> changedJobs += key.removePrefix(StoreKeys.JOB)
            key.startsWith(StoreKeys.JOB_CHUNK) ->
                changedJobs +=
                    key.removePrefix(StoreKeys.JOB_CHUNK).substringBefore('/')
            key.startsWith(StoreKeys.MACHINE) -> changedMachines += key.removePrefix(StoreKeys.MACHINE)
            key.startsWith(StoreKeys.SHARD_SUMMARY) || key == StoreKeys.ASSIGNMENT -> statusesChanged = true
        }
    }

    override fun cleared() {
        complete = false
        next = FleetSnapshot()
        changedJobs.clear()
        changedMachines.clear()
        jobsWithLosses.clear()
        statusesChanged = true
    }

    /** The view is complete at its present revision: publishes it. */
    fun publish() {
        var jobs = next.jobs
        for (id in changedJobs) {
            val job = view.jobs[id]
            jobs = if (job == null) jobs.remove(id) else jobs.put(id, job)
            val loses = job != null && job.chunks.values.any { it.interrupted.isNotEmpty() }
            if (loses) jobsWithLosses += id else jobsWithLosses -= id
            // Lazy values are worked out here, on the one thread that may.
            job?.run { doneCount + placedCount }
        }
        var machines = next.machines
        var machineStatuses = next.machineStatuses
        for (name in if (statusesChanged) changedMachines + machines.keys else changedMachines) {
            val machine = view.machines[name]
            val room = view.machineStatus(name)
            machines = if (machine == null) machines.remove(name) else machines.put(name, machine)
            machineStatuses = if (room == null) machineStatuses.remove(name) else machineStatuses.put(name, room)
        }
        changedJobs.clear()
        changedMachines.clear()
        statusesChanged = false
        next = next.copy(
            revision = view.revision,
            assignment = view.assignment,
            jobs = jobs,
            machines = machines,
            machineStatuses = machineStatuses,
            machineTypes = view.machineTypes,
            zones = if (next.zones == view.zones) next.zones else HashMap(view.zones),
        )
        complete = true
        current = next
    }

    private fun fleetRecord(item: KeyUpdate) {
        val key = item.key
        val value = item.value
        try {
            next = when {
                key.startsWith(FleetKeys.DRAIN) -> {
                    val id = key.removePrefix(FleetKeys.DRAIN)
                    next.copy(drains = next.drains.set(id, value?.let { DrainCodec.drain(id, it, item.version) }))
                }
                key.startsWith(FleetKeys.LEDGER) -> {
                    val team = key.removePrefix(FleetKeys.LEDGER)
                    next.copy(
                        ledgers = next.ledgers.set(
                            team,
                            value?.let {
                                DrainCodec.ledger(team, it, item.version)
                            },
                        ),
                    )
                }
                key.startsWith(FleetKeys.CONFIG) -> {
                    val node = key.removePrefix(FleetKeys.CONFIG)
                    next.copy(configs = next.configs.set(node, value?.let(DrainCodec::config)))
                }
                key.startsWith(FleetKeys.ABANDON) -> {
                    val name = key.removePrefix(FleetKeys.ABANDON)
                    next.copy(
                        abandons = next.abandons.set(
                            name,
                            value?.let {
                                AbandonCodec.decode(name, it, item.version)
                            },
                        ),
                    )
                }
                key.startsWith(FleetKeys.LOSS) ->
                    next.copy(lossMarks = next.lossMarks.set(key.removePrefix(FleetKeys.LOSS), item.version))
                else -> next
            }
        } catch (e: RuntimeException) {
            log.error("key={} version={} can't be read: {}", key, item.version, e.toString())
        }
    }

    private fun <V : Any> kotlinx.collections.immutable.PersistentMap<String, V>.set(key: String, value: V?) =
        if (value == null) remove(key) else put(key, value)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
