package flaxfield.arrays

import flaxfield.BYTES_PER_KIB

/**
 * Distributes a shard's machines over pages by a hash of their names. Each page fits into one value of the store for
 * any number of machines, and a change of one machine writes only one page. Pure functions.
 */
object ShardSummaryPages {
    /** The maximum size of a row. Images get the bytes that name, health, incarnation and address leave. */
    const val MAX_ROW_BYTES = 320

    /** The size of a row without its images. */
    private const val ROW_BYTES_WITHOUT_IMAGES = 100

    /** The fraction of a value that rows may occupy. */
    private const val MAX_FILL = 0.75

    /**
     * Factor for uneven hashing: the fullest of several pages holds more than the mean, but well under twice as much.
     */
    private const val HASH_SKEW = 1.3

    /** The overhead of each image name: two quotes and a comma. */
    private const val BYTES_PER_IMAGE = 3

    /** Multiplier of Fibonacci hashing: names that differ only in their last digits get different high bits as well. */
    private const val HASH_MULTIPLIER = -0x61c88647
    private const val HASH_SHIFT = 16

    /**
     * Returns the number of pages that [machines] need in values of [valueKb] KiB, at least [current]. The number only
     * doubles, so that each page splits in two and about half of its rows stay on it.
     */
    fun count(machines: Int, valueKb: Double, current: Int): Int {
        var pages = maxOf(1, current)
        while (machines.toDouble() * MAX_ROW_BYTES * HASH_SKEW > pages * valueKb * BYTES_PER_KIB * MAX_FILL) pages *= 2
        return pages
    }

    /** Returns the index of the page, out of [pages], that holds the machine's row. */
    fun pageOf(machineName: String, pages: Int): Int =
        Math.floorMod(machineName.hashCode() * HASH_MULTIPLIER ushr HASH_SHIFT, pages)

    /** Returns the most recently used of [images] that fit into a row, in their original order. */
    fun imagesThatFit(images: List<String>): List<String> {
        var remaining = MAX_ROW_BYTES - ROW_BYTES_WITHOUT_IMAGES
        return images.asReversed().takeWhile { name ->
            remaining -= name.length + BYTES_PER_IMAGE
            remaining >= 0
        }.asReversed()
    }
}
