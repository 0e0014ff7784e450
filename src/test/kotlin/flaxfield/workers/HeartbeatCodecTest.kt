package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class HeartbeatCodecTest {
    @Test
    fun `rejects missing or invalid fields, but accepts unknown fields and end causes`() {
        val valid = mapOf(
            "host" to "h", "address" to "10.0.0.1:1", "flavor" to "big", "site" to "a", "lendable" to false,
            "tenure" to 1, "tally" to ULong.MAX_VALUE, "epoch" to 3, "warning_s" to 5.5,
            "shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "ended", "cause" to "melted")),
        )
        val heartbeat = HeartbeatCodec.decode(Cbor.encode(valid + ("new" to 1)))
        assertEquals(ULong.MAX_VALUE, heartbeat.sequenceNumber)
        assertEquals(EndCause.ERROR, heartbeat.tasks.single().cause)
        val invalidMessages = listOf(
            valid - "tenure",
            valid - "host",
            valid + ("tally" to -1),
            valid + ("shards" to listOf(mapOf("shard" to "job-1", "try" to 1, "phase" to "running"))),
            valid + ("shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "asleep"))),
        )
        for (message in invalidMessages) {
            assertThrows<MalformedException>(message.toString()) { HeartbeatCodec.decode(Cbor.encode(message)) }
        }
    }
}
