package flaxfield.arrays

import flaxfield.codec.Cbor
import flaxfield.store.TransactionSize
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ShardSummaryTest {
    @Test
    fun `each page of a shard's summary fits into one value`() {
        // The store rejects a value that is too large, as one for the whole shard would be.
        for (machines in listOf(1, 40, 240, 714, 3000)) {
            for (valueKb in listOf(4.0, 16.0, 32.0)) {
                val pages = ShardSummaryPages.count(machines, valueKb, 1)
                val rows = (0 until machines).map {
                    "host-%06d".format(it * 3)
                }.groupBy { ShardSummaryPages.pageOf(it, pages) }
                val images = ShardSummaryPages.imagesThatFit((0 until 40).map { "bundle-%04d".format(it) })
                val status = MachineStatus(MachineHealth.NOTICE, 99uL, "10.123.123.123:65000", images)
                val largest = rows.values.maxBy { it.size }.associateWith { status }
                val size = TransactionSize.jsonBytes(ShardSummaryCodec.encode(ShardSummary(ULong.MAX_VALUE, largest)))
                assertTrue(size <= valueKb * 1024, "$machines machines, $valueKb KiB, $pages pages: $size")
                assertEquals(pages, ShardSummaryPages.count(machines, valueKb, pages))
                assertEquals(
                    2 * pages,
                    ShardSummaryPages.count(1, valueKb, 2 * pages),
                    "the number of pages never decreases",
                )
            }
        }
        assertEquals(listOf("b", "c"), ShardSummaryPages.imagesThatFit(listOf("x".repeat(400), "b", "c")))
    }

    @Test
    fun `a decoded summary equals the encoded one`() {
        val summary = ShardSummary(
            ULong.MAX_VALUE,
            mapOf(
                "h" to MachineStatus(MachineHealth.NOTICE, 3uL, "10.0.0.1:1", listOf("x", "y")),
            ),
        )
        assertEquals(summary, ShardSummaryCodec.decode(Cbor.decode(Cbor.encode(ShardSummaryCodec.encode(summary)))))
    }
}
