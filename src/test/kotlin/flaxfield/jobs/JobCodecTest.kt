package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class JobCodecTest {
    private val wire = JobCodec.encodeSpec(Samples.spec(id = "job-000412"))

    @Test
    fun `a submission and its job are unchanged after encoding and decoding`() {
        val spec = JobCodec.decodeSpec(Cbor.decode(Cbor.encode(wire)))
        assertEquals(Samples.spec(id = "job-000412"), spec)
        val job = Samples.job(spec, atMs = 77)
            .on(0 to "host-1", 3 to "host-2")
            .finish(listOf(3))
            .copy(failedMachines = listOf("host-9"), failureCount = 2, failedAtMs = 78)
        val read = JobCodec.decodeHead(Cbor.decode(Cbor.encode(JobCodec.encodeHead(job))), job.version)
        assertEquals(job.copy(chunks = emptyMap()), read.copy(chunks = emptyMap()))
        assertEquals(job.chunk(0).placed, read.chunk(0).placed)
        assertEquals(job.chunk(0).done, read.chunk(0).done)
    }

    @Test
    fun `rejects malformed submissions and ignores unknown fields`() {
        val invalid = listOf(
            "id" to null, "id" to "412", "id" to "job-", "id" to "job-1/2", "shape" to "crowd", "urgency" to "low",
            "shards" to 0, "shards" to 100_001, "shards" to "3", "vcpus" to -1.0, "vcpus" to null,
            "vcpus" to Double.NaN, "bundle" to "", "flavors" to "g8", "flavors" to listOf(1), "site" to 3,
            "same_place" to "yes", "due_s" to "soon",
        )
        for ((key, value) in invalid) {
            assertThrows<MalformedException>("$key=$value") { decode(wire + (key to value)) }
        }
        assertEquals("job-000412", decode(wire + ("colour" to "red")).id)
        // Only fields that may be null may be left out; a job that lacks a flag must not be accepted.
        val optional = setOf("flavors", "site", "due_s")
        for (key in wire.keys) {
            val without = Cbor.decode(Cbor.encode(wire - key))
            if (key in optional) {
                JobCodec.decodeSpec(without)
            } else {
                assertThrows<MalformedException>("without $key") { JobCodec.decodeSpec(without) }
            }
        }
    }

    private fun decode(submission: Map<String, Any?>): JobSpec = JobCodec.decodeSpec(Cbor.decode(Cbor.encode(submission)))
}
