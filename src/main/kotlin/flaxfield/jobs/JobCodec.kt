package flaxfield.jobs

import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import java.util.BitSet

/** Wire and store forms of jobs; the users' field names appear only here. */
object JobCodec {
    /** Longest text we take in any field: a job's head must fit its store value many times over. */
    private const val MAX_TEXT = 200
    private const val MAX_SHARDS = 100_000
    private val ID = Regex("job-[0-9]{1,18}")

    private val shapes = mapOf("sweep" to JobKind.ARRAY, "group" to JobKind.GANG, "daemon" to JobKind.SERVICE)
    private val priorities = mapOf(
        "prod" to Priority.PROD,
        "high" to Priority.HIGH,
        "standard" to Priority.STANDARD,
        "idle" to Priority.IDLE,
    )

    /** Whether [id] has the form that every job id has. */
    fun isId(id: String): Boolean = ID.matches(id)

    /** Reads a submission; throws [MalformedException] for a missing or invalid field. */
    fun spec(o: FieldMap): JobSpec {
        val id = text(o, "id")
        if (!isId(id)) throw MalformedException("id is invalid")
        val taskCount = o.requireInt("shards")
        if (taskCount !in 1..MAX_SHARDS) throw MalformedException("shards is invalid")
        val machineTypes = o.textList("flavors")
        if (machineTypes == null && o.map["flavors"] != null) throw MalformedException("flavors is invalid")
        return JobSpec(
            id = id,
            jobClass = text(o, "jobclass"),
            team = text(o, "owner"),
            jobKind = shapes[o.text("shape")] ?: throw MalformedException("shape is invalid"),
            priority = priorities[o.text("urgency")] ?: throw MalformedException("urgency is invalid"),
            taskCount = taskCount,
            taskResources = Resources(amount(o, "vcpus"), amount(o, "accelerators"), amount(o, "ram_gb")),
            image = text(o, "bundle"),
            imageGb = amount(o, "pull_gb"),
            machineTypes = machineTypes?.toSet(),
            zone = optionalText(o, "site"),
            sameZone = o.requireBoolean("same_place"),
            spreadAcrossZones = o.requireBoolean("scatter"),
            preemptible = o.requireBoolean("lendable"),
            expectedRuntimeS = amount(o, "expect_s"),
            checkpointIntervalS = amount(o, "snapshot_every_s"),
            checkpointDurationS = amount(o, "snapshot_s"),
            deadlineS = if (o.map["due_s"] == null) null else amount(o, "due_s"),
        )
    }

    fun encodeSpec(s: JobSpec): Map<String, Any?> = mapOf(
        "id" to s.id, "jobclass" to s.jobClass, "owner" to s.team,
        "shape" to shapes.entries.first { it.value == s.jobKind }.key,
        "urgency" to priorities.entries.first { it.value == s.priority }.key,
        "shards" to s.taskCount, "vcpus" to s.taskResources.cpus, "accelerators" to s.taskResources.gpus,
        "ram_gb" to s.taskResources.ram,
        "bundle" to s.image, "pull_gb" to s.imageGb, "flavors" to s.machineTypes?.toList(), "site" to s.zone,
        "same_place" to s.sameZone, "scatter" to s.spreadAcrossZones, "lendable" to s.preemptible,
        "expect_s" to s.expectedRuntimeS, "snapshot_every_s" to s.checkpointIntervalS,
        "snapshot_s" to s.checkpointDurationS, "due_s" to s.deadlineS,
    )

    /** The head's value: the job and its chunk 0. */
    fun encodeHead(j: Job): Map<String, Any?> = mapOf(
        "spec" to encodeSpec(j.spec),
        "at" to j.submittedMs,
        "cancelled" to j.cancelledMs,
        "bad" to j.failedMachines,
        "errors" to j.failureCount,
        "retry" to j.retryAtMs,
        "size" to j.chunkTasks,
    ) + encodeChunk(j.chunks[0] ?: Chunk.empty())

    fun decodeHead(o: FieldMap, version: ULong): Job = Job(
        spec = spec(o.requireMap("spec")),
        submittedMs = o.requireUnsigned("at").toLong(),
        cancelledMs = o.unsigned("cancelled")?.toLong(),
        failedMachines = o.textList("bad").orEmpty(),
        failureCount = o.int("errors") ?: 0,
        retryAtMs = o.unsigned("retry")?.toLong() ?: 0,
        chunkTasks = o.requireInt("size"),
        chunks = mapOf(0 to decodeChunk(o, version)),
        version = version,
    )

    fun encodeChunk(c: Chunk): Map<String, Any?> = mapOf(
        "next" to c.next,
        "done" to ranges(c.done),
        "placed" to c.placed.values.map { listOf(it.index, it.attempt, it.machineName, it.incarnation, it.stopping) },
    ) + (if (c.interrupted.isEmpty()) emptyMap() else mapOf("lost" to ranges(bits(c.interrupted))))

    fun decodeChunk(o: FieldMap, version: ULong): Chunk {
        val done = bits(o, "done")
        val placed = o.list("placed").orEmpty().map { row ->
            row as List<*>
            Placement(
                (row[0] as Number).toInt(),
                (row[1] as Number).toLong(),
                row[2] as String,
                FieldMap.requireUnsigned(row[3]),
                row[4] as Boolean,
            )
        }
        val interrupted = bits(o, "lost").stream().toArray().toSet()
        return Chunk(o.requireUnsigned("next").toLong(), done, placed.associateBy { it.index }, version, interrupted)
    }

    fun encodeFinished(f: FinishedJob): Map<String, Any?> = mapOf("aborted" to f.aborted, "done" to f.done)

    fun decodeFinished(id: String, o: FieldMap) = FinishedJob(id, o.boolean("aborted") ?: false, o.int("done") ?: 0)

    /** The answer users get for a job that is not over. */
    fun status(j: Job): Map<String, Any?> = mapOf(
        "id" to j.id,
        "phase" to when {
            j.cancelled -> "aborted"
            j.placedCount > 0 -> "running"
            else -> "pending"
        },
        "done" to j.doneCount,
        "running" to j.placedCount,
    )

    fun status(f: FinishedJob): Map<String, Any?> =
        mapOf("id" to f.id, "phase" to if (f.aborted) "aborted" else "done", "done" to f.done, "running" to 0)

    /** Splits a task's name into its job's id and its number. */
    fun task(name: String): Pair<String, Int>? {
        val at = name.indexOf('/')
        val index = if (at > 0) name.substring(at + 1).toIntOrNull() else null
        return if (index == null || index < 0) null else name.substring(0, at) to index
    }

    fun taskName(id: String, index: Int): String = "$id/$index"

    private fun bits(o: FieldMap, key: String): BitSet {
        val result = BitSet()
        val ends = o.list(key).orEmpty().map { (it as Number).toInt() }
        for (k in 0 until ends.size - 1 step 2) result.set(ends[k], ends[k + 1] + 1)
        return result
    }

    private fun bits(indexes: Set<Int>): BitSet = BitSet().apply { for (i in indexes) set(i) }

    private fun ranges(bits: BitSet): List<Int> = buildList {
        var from = bits.nextSetBit(0)
        while (from >= 0) {
            val to = bits.nextClearBit(from)
            add(from)
            add(to - 1)
            from = bits.nextSetBit(to)
        }
    }

    private fun text(o: FieldMap, key: String): String {
        val t = o.requireText(key)
        if (t.isEmpty() || t.length > MAX_TEXT) throw MalformedException("$key is invalid")
        return t
    }

    private fun optionalText(o: FieldMap, key: String): String? = if (o.map[key] == null) null else text(o, key)

    private fun amount(o: FieldMap, key: String): Double {
        val v = o.requireNumber(key)
        if (!(v >= 0.0) || v.isInfinite()) throw MalformedException("$key is invalid")
        return v
    }
}
