package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class HeartbeatCodecTest {
    @Test
    fun `heartbeats are read strictly where it matters and leniently where it does not`() {
        val good = mapOf(
            "host" to "h", "address" to "10.0.0.1:1", "flavor" to "big", "site" to "a", "lendable" to false,
            "tenure" to 1, "tally" to ULong.MAX_VALUE, "epoch" to 3, "warning_s" to 5.5,
            "shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "ended", "cause" to "melted")),
        )
        val read = HeartbeatCodec.decode(Cbor.encode(good + ("new" to 1)))
        assertEquals(ULong.MAX_VALUE, read.sequenceNumber)
        assertEquals(EndCause.ERROR, read.tasks.single().cause)
        val bad = listOf(
            good - "tenure",
            good - "host",
            good + ("tally" to -1),
            good + ("shards" to listOf(mapOf("shard" to "job-1", "try" to 1, "phase" to "running"))),
            good + ("shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "asleep"))),
        )
        for (message in bad) {
            assertThrows<MalformedException>(message.toString()) { HeartbeatCodec.decode(Cbor.encode(message)) }
        }
    }
}
