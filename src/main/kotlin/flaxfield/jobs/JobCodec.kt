package flaxfield.jobs

import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import java.util.BitSet

/** Encodes and decodes the wire and stored forms of jobs. The field names of both appear only here. */
object JobCodec {
    /** The maximum length of any text field, so that a job's head stays far below the size limit of a value. */
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_TASKS = 100_000
    private val ID = Regex("job-[0-9]{1,18}")

    private val jobKinds = mapOf("sweep" to JobKind.ARRAY, "group" to JobKind.GANG, "daemon" to JobKind.SERVICE)
    private val priorities = mapOf(
        "prod" to Priority.PROD,
        "high" to Priority.HIGH,
        "standard" to Priority.STANDARD,
        "idle" to Priority.IDLE,
    )

    /** Whether [id] is a well-formed job id. */
    fun isId(id: String): Boolean = ID.matches(id)

    /** Decodes a submission; throws [MalformedException] for a missing or invalid field. */
    fun decodeSpec(fields: FieldMap): JobSpec {
        val id = text(fields, "id")
        if (!isId(id)) throw MalformedException("id is invalid")
        val taskCount = fields.requireInt("shards")
        if (taskCount !in 1..MAX_TASKS) throw MalformedException("shards is invalid")
        val machineTypes = fields.textList("flavors")
        if (machineTypes == null && fields.map["flavors"] != null) throw MalformedException("flavors is invalid")
        return JobSpec(
            id = id,
            jobClass = text(fields, "jobclass"),
            team = text(fields, "owner"),
            jobKind = jobKinds[fields.text("shape")] ?: throw MalformedException("shape is invalid"),
            priority = priorities[fields.text("urgency")] ?: throw MalformedException("urgency is invalid"),
            taskCount = taskCount,
            taskResources = Resources(
                amount(fields, "vcpus"),
                amount(fields, "accelerators"),
                amount(fields, "ram_gb"),
            ),
            image = text(fields, "bundle"),
            imageGb = amount(fields, "pull_gb"),
            machineTypes = machineTypes?.toSet(),
            zone = optionalText(fields, "site"),
            sameZone = fields.requireBoolean("same_place"),
            spreadAcrossZones = fields.requireBoolean("scatter"),
            preemptible = fields.requireBoolean("lendable"),
            expectedRuntimeS = amount(fields, "expect_s"),
            checkpointIntervalS = amount(fields, "snapshot_every_s"),
            checkpointDurationS = amount(fields, "snapshot_s"),
            deadlineS = if (fields.map["due_s"] == null) null else amount(fields, "due_s"),
        )
    }

    /** Encodes a submission in its wire form, which is also its stored form. */
    fun encodeSpec(spec: JobSpec): Map<String, Any?> = mapOf(
        "id" to spec.id,
        "jobclass" to spec.jobClass,
        "owner" to spec.team,
        "shape" to jobKinds.entries.first { it.value == spec.jobKind }.key,
        "urgency" to priorities.entries.first { it.value == spec.priority }.key,
        "shards" to spec.taskCount,
        "vcpus" to spec.taskResources.cpus,
        "accelerators" to spec.taskResources.gpus,
        "ram_gb" to spec.taskResources.memoryGb,
        "bundle" to spec.image,
        "pull_gb" to spec.imageGb,
        "flavors" to spec.machineTypes?.toList(),
        "site" to spec.zone,
        "same_place" to spec.sameZone,
        "scatter" to spec.spreadAcrossZones,
        "lendable" to spec.preemptible,
        "expect_s" to spec.expectedRuntimeS,
        "snapshot_every_s" to spec.checkpointIntervalS,
        "snapshot_s" to spec.checkpointDurationS,
        "due_s" to spec.deadlineS,
    )

    /** Encodes a job's head record, which includes chunk 0. */
    fun encodeHead(job: Job): Map<String, Any?> = mapOf(
        "spec" to encodeSpec(job.spec),
        "at" to job.submittedMs,
        "cancelled" to job.cancelledMs,
        "bad" to job.failedMachines,
        "errors" to job.failureCount,
        "retry" to job.retryAtMs,
        "size" to job.chunkTasks,
    ) + encodeFailureTime(job) + encodeChunk(job.chunks[0] ?: JobChunk.empty())

    private fun encodeFailureTime(job: Job): Map<String, Any?> =
        if (job.failedAtMs > 0) mapOf("failed_at" to job.failedAtMs) else emptyMap()

    /** Decodes a job's head record; throws [MalformedException] for a missing or invalid field. */
    fun decodeHead(fields: FieldMap, version: ULong): Job = Job(
        spec = decodeSpec(fields.requireMap("spec")),
        submittedMs = fields.requireUnsigned("at").toLong(),
        cancelledMs = fields.unsigned("cancelled")?.toLong(),
        failedMachines = fields.textList("bad").orEmpty(),
        failureCount = fields.int("errors") ?: 0,
        retryAtMs = fields.unsigned("retry")?.toLong() ?: 0,
        chunkTasks = fields.requireInt("size"),
        chunks = mapOf(0 to decodeChunk(fields, version)),
        version = version,
        failedAtMs = fields.unsigned("failed_at")?.toLong() ?: 0,
    )

    /** Encodes a chunk; chunk 0 is part of the head record. */
    fun encodeChunk(chunk: JobChunk): Map<String, Any?> {
        val value = mapOf(
            "next" to chunk.nextAttempt,
            "done" to encodeRanges(chunk.done),
            "placed" to chunk.placed.values.map(::encodePlacement),
        )
        return if (chunk.interrupted.isEmpty()) value else value + ("lost" to encodeRanges(bitSetOf(chunk.interrupted)))
    }

    private fun encodePlacement(placement: Placement): List<Any> = listOf(
        placement.index,
        placement.attempt,
        placement.machineName,
        placement.incarnation,
        placement.stopping,
    )

    /** Decodes a chunk. */
    fun decodeChunk(fields: FieldMap, version: ULong): JobChunk = JobChunk(
        nextAttempt = fields.requireUnsigned("next").toLong(),
        done = decodeRanges(fields, "done"),
        placed = fields.list("placed").orEmpty().map { decodePlacement(it as List<*>) }.associateBy { it.index },
        version = version,
        interrupted = decodeRanges(fields, "lost").stream().toArray().toSet(),
    )

    private fun decodePlacement(row: List<*>) = Placement(
        index = (row[0] as Number).toInt(),
        attempt = (row[1] as Number).toLong(),
        machineName = row[2] as String,
        incarnation = FieldMap.requireUnsigned(row[3]),
        stopping = row[4] as Boolean,
    )

    /** Encodes a finished job; its id is in the key. */
    fun encodeFinished(job: FinishedJob): Map<String, Any?> = mapOf("aborted" to job.aborted, "done" to job.done)

    /** Decodes the finished job with this [id]. */
    fun decodeFinished(id: String, fields: FieldMap) =
        FinishedJob(id, fields.boolean("aborted") ?: false, fields.int("done") ?: 0)

    /** Returns the status of an unfinished job in its wire form. */
    fun status(job: Job): Map<String, Any?> = mapOf(
        "id" to job.id,
        "phase" to when {
            job.cancelled -> "aborted"
            job.placedCount > 0 -> "running"
            else -> "pending"
        },
        "done" to job.doneCount,
        "running" to job.placedCount,
    )

    /** Returns the status of a finished job in its wire form. */
    fun status(job: FinishedJob): Map<String, Any?> = mapOf(
        "id" to job.id,
        "phase" to if (job.aborted) "aborted" else "done",
        "done" to job.done,
        "running" to 0,
    )

    /** Parses a task name, `job/index`; returns null if it is malformed. */
    fun parseTaskId(name: String): TaskId? {
        val slash = name.indexOf('/')
        val index = if (slash > 0) name.substring(slash + 1).toIntOrNull() else null
        return if (index == null || index < 0) null else TaskId(name.substring(0, slash), index)
    }

    /** Returns the name of a task on the wire. */
    fun taskName(id: String, index: Int): String = "$id/$index"

    /** Decodes a flat list that holds the first and the last index of each range. */
    private fun decodeRanges(fields: FieldMap, name: String): BitSet {
        val result = BitSet()
        val bounds = fields.list(name).orEmpty().map { (it as Number).toInt() }
        for (first in 0 until bounds.size - 1 step 2) result.set(bounds[first], bounds[first + 1] + 1)
        return result
    }

    private fun encodeRanges(bits: BitSet): List<Int> = buildList {
        var from = bits.nextSetBit(0)
        while (from >= 0) {
            val to = bits.nextClearBit(from)
            add(from)
            add(to - 1)
            from = bits.nextSetBit(to)
        }
    }

    private fun bitSetOf(indexes: Set<Int>): BitSet = BitSet().apply { for (index in indexes) set(index) }

    private fun text(fields: FieldMap, name: String): String {
        val text = fields.requireText(name)
        if (text.isEmpty() || text.length > MAX_TEXT_LENGTH) throw MalformedException("$name is invalid")
        return text
    }

    private fun optionalText(fields: FieldMap, name: String): String? =
        if (fields.map[name] == null) null else text(fields, name)

    private fun amount(fields: FieldMap, name: String): Double {
        val amount = fields.requireNumber(name)
        if (!(amount >= 0.0) || amount.isInfinite()) throw MalformedException("$name is invalid")
        return amount
    }
}
