package flaxfield.jobs

import flaxfield.codec.MalformedException
import flaxfield.codec.Obj
import java.util.BitSet

/** Wire and store forms of jobs; the users' field names appear only here. */
object JobCodec {
    /** Longest text we take in any field: a job's head must fit its store value many times over. */
    private const val MAX_TEXT = 200
    private const val MAX_SHARDS = 100_000
    private val ID = Regex("job-[0-9]{1,18}")

    private val shapes = mapOf("sweep" to Shape.ARRAY, "group" to Shape.GANG, "daemon" to Shape.SERVICE)
    private val priorities = mapOf(
        "prod" to Priority.PROD,
        "high" to Priority.HIGH,
        "standard" to Priority.STANDARD,
        "idle" to Priority.IDLE,
    )

    /** Whether [id] has the form that every job id has. */
    fun isId(id: String): Boolean = ID.matches(id)

    /** Reads a submission; throws [MalformedException] for a missing or invalid field. */
    fun spec(o: Obj): JobSpec {
        val id = text(o, "id")
        if (!isId(id)) throw MalformedException("id is invalid")
        val taskCount = o.needInt("shards")
        if (taskCount !in 1..MAX_SHARDS) throw MalformedException("shards is invalid")
        val machineTypes = o.texts("flavors")
        if (machineTypes == null && o.map["flavors"] != null) throw MalformedException("flavors is invalid")
        return JobSpec(
            id = id,
            jobClass = text(o, "jobclass"),
            owner = text(o, "owner"),
            shape = shapes[o.text("shape")] ?: throw MalformedException("shape is invalid"),
            priority = priorities[o.text("urgency")] ?: throw MalformedException("urgency is invalid"),
            taskCount = taskCount,
            need = Room(amount(o, "vcpus"), amount(o, "accelerators"), amount(o, "ram_gb")),
            image = text(o, "bundle"),
            imageGb = amount(o, "pull_gb"),
            machineTypes = machineTypes?.toSet(),
            zone = optionalText(o, "site"),
            sameZone = o.needFlag("same_place"),
            scatter = o.needFlag("scatter"),
            preemptible = o.needFlag("lendable"),
            expectS = amount(o, "expect_s"),
            saveEveryS = amount(o, "snapshot_every_s"),
            saveS = amount(o, "snapshot_s"),
            dueS = if (o.map["due_s"] == null) null else amount(o, "due_s"),
        )
    }

    fun encodeSpec(s: JobSpec): Map<String, Any?> = mapOf(
        "id" to s.id, "jobclass" to s.jobClass, "owner" to s.owner,
        "shape" to shapes.entries.first { it.value == s.shape }.key,
        "urgency" to priorities.entries.first { it.value == s.priority }.key,
        "shards" to s.taskCount, "vcpus" to s.need.cpus, "accelerators" to s.need.gpus, "ram_gb" to s.need.ram,
        "bundle" to s.image, "pull_gb" to s.imageGb, "flavors" to s.machineTypes?.toList(), "site" to s.zone,
        "same_place" to s.sameZone, "scatter" to s.scatter, "lendable" to s.preemptible,
        "expect_s" to s.expectS, "snapshot_every_s" to s.saveEveryS, "snapshot_s" to s.saveS, "due_s" to s.dueS,
    )

    /** The head's value: the job and its chunk 0. */
    fun encodeHead(j: Job): Map<String, Any?> = mapOf(
        "spec" to encodeSpec(j.spec),
        "at" to j.submittedMs,
        "cancelled" to j.cancelledMs,
        "bad" to j.errorHosts,
        "errors" to j.errors,
        "retry" to j.retryAtMs,
        "size" to j.chunkTasks,
    ) + encodeChunk(j.chunks[0] ?: Chunk.empty())

    fun decodeHead(o: Obj, version: ULong): Job = Job(
        spec = spec(o.needObj("spec")),
        submittedMs = o.needCount("at").toLong(),
        cancelledMs = o.count("cancelled")?.toLong(),
        errorHosts = o.texts("bad").orEmpty(),
        errors = o.int("errors") ?: 0,
        retryAtMs = o.count("retry")?.toLong() ?: 0,
        chunkTasks = o.needInt("size"),
        chunks = mapOf(0 to decodeChunk(o, version)),
        version = version,
    )

    fun encodeChunk(c: Chunk): Map<String, Any?> = mapOf(
        "next" to c.next,
        "done" to ranges(c.done),
        "placed" to c.placed.values.map { listOf(it.index, it.attempt, it.host, it.session, it.stopping) },
    ) + (if (c.interrupted.isEmpty()) emptyMap() else mapOf("lost" to ranges(bits(c.interrupted))))

    fun decodeChunk(o: Obj, version: ULong): Chunk {
        val done = bits(o, "done")
        val placed = o.list("placed").orEmpty().map { row ->
            row as List<*>
            Placed(
                (row[0] as Number).toInt(),
                (row[1] as Number).toLong(),
                row[2] as String,
                Obj.needCount(row[3]),
                row[4] as Boolean,
            )
        }
        val interrupted = bits(o, "lost").stream().toArray().toSet()
        return Chunk(o.needCount("next").toLong(), done, placed.associateBy { it.index }, version, interrupted)
    }

    fun encodeFinished(f: Finished): Map<String, Any?> = mapOf("aborted" to f.aborted, "done" to f.done)

    fun decodeFinished(id: String, o: Obj) = Finished(id, o.flag("aborted") ?: false, o.int("done") ?: 0)

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

    fun status(f: Finished): Map<String, Any?> =
        mapOf("id" to f.id, "phase" to if (f.aborted) "aborted" else "done", "done" to f.done, "running" to 0)

    /** Splits a task's name into its job's id and its number. */
    fun task(name: String): Pair<String, Int>? {
        val at = name.indexOf('/')
        val index = if (at > 0) name.substring(at + 1).toIntOrNull() else null
        return if (index == null || index < 0) null else name.substring(0, at) to index
    }

    fun taskName(id: String, index: Int): String = "$id/$index"

    private fun bits(o: Obj, key: String): BitSet {
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

    private fun text(o: Obj, key: String): String {
        val t = o.needText(key)
        if (t.isEmpty() || t.length > MAX_TEXT) throw MalformedException("$key is invalid")
        return t
    }

    private fun optionalText(o: Obj, key: String): String? = if (o.map[key] == null) null else text(o, key)

    private fun amount(o: Obj, key: String): Double {
        val v = o.needNumber(key)
        if (!(v >= 0.0) || v.isInfinite()) throw MalformedException("$key is invalid")
        return v
    }
}
