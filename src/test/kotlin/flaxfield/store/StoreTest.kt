package flaxfield.store

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Obj
import flaxfield.codec.Wire
import flaxfield.fleet.FleetCodec
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.Room
import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreTest {
    private fun stored(map: Map<String, Any?>): Obj = Wire.decode(Wire.encode(map))

    private fun put(job: Job, stamp: ULong) = Item(Keys.JOB + job.id, stored(JobCodec.encodeHead(job)), stamp)

    @Test
    fun `older news of a key is ignored, dropped ones too`() {
        val w = World()
        w.apply(put(Samples.job().on(0 to "h"), 5uL))
        w.apply(put(Samples.job(), 4uL))
        w.apply(Item(Keys.JOB + "job-1", null, 5uL))
        assertEquals(1, w.jobs["job-1"]?.placedCount)
        w.apply(Item(Keys.JOB + "job-1", null, 6uL))
        assertEquals(0, w.jobs.size)
        assertEquals(0uL, w.stamp(Keys.JOB + "job-1"))
    }

    @Test
    fun `chunks find their head in either order, and are strays after it`() {
        val big = Samples.job(Samples.spec(shards = 20)).on(0 to "h", 9 to "h", 17 to "g")
        val part = Item(Keys.chunk("job-1", 1), stored(JobCodec.encodeChunk(big.chunk(9))), 3uL)
        val far = Item(Keys.chunk("job-1", 2), stored(JobCodec.encodeChunk(big.chunk(17))), 3uL)
        for (items in listOf(listOf(put(big, 3uL), part, far), listOf(part, put(big, 3uL), far), listOf(far, part, put(big, 3uL)))) {
            val w = World()
            items.forEach(w::apply)
            assertEquals(3, w.jobs["job-1"]?.placedCount)
            assertEquals(listOf(0, 9), w.on("h").map { it.placed.index }.sorted())
            w.apply(Item(Keys.JOB + "job-1", null, 4uL))
            assertEquals(emptyList<OnHost>(), w.on("h"))
            assertEquals(setOf("job-1/1", "job-1/2"), w.strayChunks.keys)
            w.apply(Item(Keys.chunk("job-1", 1), null, 5uL))
            assertEquals(setOf("job-1/2"), w.strayChunks.keys)
        }
    }

    @Test
    fun `free room is the type's less all records, old attempts included`() {
        val w = World()
        w.apply(Item(Keys.TYPES, stored(FleetCodec.encodeFlavors(listOf(Samples.flavor("big", Room(16.0, 4.0, 64.0), 8.0, 3.0)), 1)), 1uL))
        val m = Samples.machine("h")
        w.apply(put(Samples.job().on(0 to "h", 1 to "g", 2 to "h").stop(listOf(0)), 2uL))
        assertEquals(Room(8.0, 2.0, 32.0), w.free(m))
        w.apply(put(Samples.job().on(1 to "g"), 3uL))
        assertEquals(Room(16.0, 4.0, 64.0), w.free(m))
    }

    @Test
    fun `a value that can't be read is left out`() {
        val w = World()
        w.apply(Item(Keys.JOB + "job-1", Obj(mapOf("spec" to 3)), 1uL))
        assertEquals(0, w.jobs.size)
        w.apply(put(Samples.job(), 2uL))
        assertEquals(1, w.jobs.size)
    }

    @Test
    fun `the budget keeps room for what matters more`() {
        val b = Budget(StateLimits(100.0, 20.0, 16.0, 24), nodes = 2)
        var summaries = 0
        while (b.take(Cause.ROOM, 1, 1)) summaries++
        var commits = 0
        while (b.take(Cause.GANG, 1, 1)) commits++
        var submits = 0
        while (b.take(Cause.SUBMIT, 1, 1)) submits++
        assertTrue(summaries in 4..6 && commits in 2..4 && submits >= 0, "$summaries $commits $submits")
        assertTrue(b.take(Cause.CANCEL, 1, 1))
        assertTrue(b.take(Cause.LEASE, 0, 1))
        assertFalse(b.take(Cause.ROOM, 1, 100_000_000))
        assertTrue(b.take(Cause.ROOM, 1, 1_000_000_000))
    }
}
