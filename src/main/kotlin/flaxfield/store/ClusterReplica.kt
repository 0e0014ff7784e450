package flaxfield.store

import flaxfield.arrays.ShardSummaryCodec
import flaxfield.codec.FieldMap
import flaxfield.fleet.FleetCodec
import flaxfield.membership.MemberCodec
import flaxfield.zones.ZoneCodec
import org.slf4j.LoggerFactory

/**
 * Replays the store's changes into the in-memory replica that [view] reads. Updates that are no newer than the current
 * record are ignored, so that a paged list and the watch after it may overlap. Used only by the owner thread.
 */
class ClusterReplica {
    private val records = ClusterRecords()

    /** The read-only view of this replica. */
    val view = ClusterView(records)

    /** Marks all changes up to revision [to] as applied. */
    fun advance(to: ULong) {
        if (to > records.revision) records.revision = to
    }

    /** Removes all records, before they are listed again. */
    fun clear() {
        records.clear()
        view.observer?.cleared()
    }

    /** Applies one update. A value that cannot be decoded is logged and skipped, so that it cannot end the process. */
    fun apply(update: KeyUpdate) {
        val currentVersion = records.versions[update.key]
        if (currentVersion != null && update.version <= currentVersion) return
        if (update.value == null) {
            if (currentVersion == null) return
            records.versions.remove(update.key)
        } else {
            records.versions[update.key] = update.version
        }
        try {
            replay(update.key, update.value, update.version)
            view.observer?.changed(update)
        } catch (fault: Exception) {
            log.error(
                "event=record_unreadable key={} version={} reason={}",
                update.key,
                update.version,
                fault.toString(),
            )
        }
    }

    private fun replay(key: String, value: FieldMap?, version: ULong) {
        when {
            key.startsWith(StoreKeys.JOB) ->
                records.jobs.setHead(key.removePrefix(StoreKeys.JOB), value, version)
            key.startsWith(StoreKeys.JOB_CHUNK) ->
                records.jobs.setChunk(key.removePrefix(StoreKeys.JOB_CHUNK), value, version)
            key.startsWith(StoreKeys.MACHINE) ->
                records.machines.set(key.removePrefix(StoreKeys.MACHINE), key, value, version)
            key.startsWith(StoreKeys.SHARD_SUMMARY) ->
                records.shardSummaries.set(key, value?.let(ShardSummaryCodec::decode))
            key.startsWith(StoreKeys.MEMBER) ->
                set(records.members, key.removePrefix(StoreKeys.MEMBER), value?.let(MemberCodec::member))
            key.startsWith(StoreKeys.RENTAL) ->
                set(
                    records.rentals,
                    key.removePrefix(StoreKeys.RENTAL),
                    value?.let {
                        FleetCodec.decodeRental(it, key, version)
                    },
                )
            key.startsWith(StoreKeys.ZONE) ->
                set(records.zones, key.removePrefix(StoreKeys.ZONE), value?.let { ZoneCodec.decode(it, key, version) })
            key == StoreKeys.ASSIGNMENT -> records.assignment = value?.let { MemberCodec.assignment(it, version) }
            key == StoreKeys.LEADER -> records.leader = value?.let(MemberCodec::member)
            key == StoreKeys.MACHINE_TYPES -> replayMachineTypes(value)
        }
    }

    private fun replayMachineTypes(value: FieldMap?) {
        records.machineTypes = value?.let(FleetCodec::machineTypes).orEmpty()
        records.placements.invalidateRoom()
        records.machineTypesWrittenMs = value?.unsigned("at")?.toLong() ?: 0
    }

    private fun <T : Any> set(records: HashMap<String, T>, name: String, record: T?) {
        if (record == null) records.remove(name) else records[name] = record
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")
    }
}
