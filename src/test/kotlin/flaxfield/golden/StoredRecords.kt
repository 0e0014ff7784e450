package flaxfield.golden

import flaxfield.arrays.ShardSummaryCodec
import flaxfield.codec.FieldMap
import flaxfield.drain.DrainCodec
import flaxfield.drain.DrainPhase
import flaxfield.drain.FleetKeys
import flaxfield.fleet.FleetCodec
import flaxfield.golden.GoldenCases.record
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.JobCodec
import flaxfield.membership.MemberCodec
import flaxfield.store.StoreKeys
import flaxfield.zones.AbandonCodec
import flaxfield.zones.AbandonOrder
import flaxfield.zones.HeartbeatCoverage
import flaxfield.zones.ZoneCodec
import flaxfield.zones.ZoneCoverage
import flaxfield.zones.ZoneRecord
import flaxfield.zones.ZoneState

/** Every kind of record in the state service, and the keys. */
object StoredRecords {
    private const val VERSION = StoredSamples.VERSION

    private val jobs = listOf(
        record("job-head-new", StoredSamples.newJob, JobCodec::encodeHead) { JobCodec.decodeHead(it, VERSION) },
        record("job-head-full", StoredSamples.fullJob, JobCodec::encodeHead) { JobCodec.decodeHead(it, VERSION) },
        record("job-head-failed", StoredSamples.failedJob, JobCodec::encodeHead) { JobCodec.decodeHead(it, VERSION) },
        record("job-chunk", StoredSamples.chunk, JobCodec::encodeChunk) { JobCodec.decodeChunk(it, VERSION) },
        record("job-chunk-interrupted", StoredSamples.chunkWithInterrupted, JobCodec::encodeChunk) { JobCodec.decodeChunk(it, VERSION) },
        record("job-finished", FinishedJob("job-1", aborted = false, done = 4), JobCodec::encodeFinished) {
            JobCodec.decodeFinished("job-1", it)
        },
        record("job-aborted", FinishedJob("job-1", aborted = true, done = 1), JobCodec::encodeFinished) {
            JobCodec.decodeFinished("job-1", it)
        },
    )

    private val machines = listOf(
        "machine" to StoredSamples.machine,
        "machine-reserved" to StoredSamples.reservedMachine,
        "machine-cordoned" to StoredSamples.cordonedMachine,
    ).map { (name, value) -> record(name, value, FleetCodec::encode) { FleetCodec.decodeMachine(it, "live/host/host-1", VERSION) } } +
        record("rental", StoredSamples.rental, FleetCodec::encode) { FleetCodec.decodeRental(it, "live/hire/rental-1", VERSION) } +
        record(
            "machine-types",
            StoredSamples.machineTypes.associateBy { it.label },
            { FleetCodec.encodeMachineTypes(it.values, StoredSamples.TIME_MS) },
            FleetCodec::machineTypes,
        )

    private val zoneCoverage = HeartbeatCoverage.entries.associate { "zone-${it.ordinal}" to ZoneCoverage(10 + it.ordinal, it) }

    private val shardSummaries = listOf(
        record("shard-summary", StoredSamples.shardSummary, ShardSummaryCodec::encode, ShardSummaryCodec::decode),
        record(
            "shard-summary-zones",
            StoredSamples.shardSummary.copy(zoneCoverage = zoneCoverage),
            ShardSummaryCodec::encode,
            ShardSummaryCodec::decode,
        ),
    )

    // The leader's key holds a member record.
    private val members = listOf(
        record("member", StoredSamples.member, MemberCodec::encode, MemberCodec::member),
        record("assignment", StoredSamples.assignment, { MemberCodec.encode(it.leader, it.members) }) {
            MemberCodec.assignment(it, VERSION)
        },
    )

    private val zones = ZoneState.entries.map { state ->
        val zone = ZoneRecord("zone-a", state, 2, StoredSamples.TIME_MS, 40, 3, 1, 5, 6, VERSION)
        record("zone-${state.name.lowercase()}", zone, ZoneCodec::encode) { ZoneCodec.decode(it, "live/zone/zone-a", VERSION) }
    } + record("abandon-order", AbandonOrder("zone-a", "train", 2, StoredSamples.TIME_MS, VERSION), AbandonCodec::encode) {
        AbandonCodec.decode("zone-a/train", it, VERSION)
    }

    private val drains = DrainPhase.entries.map { "drain-${it.name.lowercase()}" to StoredSamples.drain.copy(phase = it) }
        .plus("drain-without-target" to StoredSamples.drainWithoutTarget)
        .plus("drain-failed-note" to StoredSamples.failedDrain)
        .map { (name, value) -> record(name, value, DrainCodec::encode) { DrainCodec.drain("drain-1", it, VERSION) } } +
        record("ledger", StoredSamples.ledger, DrainCodec::encode) { fields: FieldMap -> DrainCodec.ledger("blue", fields, VERSION) } +
        record("fleet-config", StoredSamples.config, DrainCodec::encode, DrainCodec::config)

    private val keys = textOnly("keys.txt") {
        listOf(
            StoreKeys.LIVE, StoreKeys.ASSIGNMENT, StoreKeys.LEADER, StoreKeys.MACHINE_TYPES, StoreKeys.MEMBER, StoreKeys.JOB,
            StoreKeys.JOB_CHUNK,
            StoreKeys.MACHINE, StoreKeys.RENTAL, StoreKeys.SHARD_SUMMARY, StoreKeys.QUOTA_FENCE, StoreKeys.ZONE, StoreKeys.FINISHED_JOB,
            StoreKeys.FLEET,
            StoreKeys.REVISION_PROBE, StoreKeys.shardSummary("n-0", 3), StoreKeys.chunk("job-1", 0), StoreKeys.chunk("job-1", 2),
            FleetKeys.DRAIN,
            FleetKeys.LEDGER, FleetKeys.CONFIG, FleetKeys.LOSS, FleetKeys.ABANDON, AbandonOrder.name("zone-a", "train"),
        ).joinToString("") { it + "\n" }
    }

    val suite = GoldenSuite("stored", jobs + machines + shardSummaries + members + zones + drains + keys)
}
