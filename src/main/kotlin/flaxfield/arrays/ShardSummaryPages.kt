package flaxfield.arrays

import flaxfield.BYTES_PER_KIB

/**
 * Pure: deals a shard's machines into pages that each fit one value of the key-value store, by a hash of their names. A
 * change then writes one page, and a page is too large at no number of machines.
 */
object ShardSummaryPages {
    /** The size that a row is counted with: name, state, incarnation and address, and images up to the rest. */
    const val ROW_BYTES = 320

    /** What a row takes without its images. */
    private const val ROW_BYTES_WITHOUT_IMAGES = 100

    /** The fraction of a value that rows may fill. */
    private const val MAX_FILL = 0.75

    /** Hashing deals unevenly: the fullest of several pages holds well under twice the mean. */
    private const val UNEVENNESS = 1.3

    /** Two quotes and a comma around each image's name. */
    private const val BYTES_PER_IMAGE = 3

    /** Machine names differ in their last digits: multiplied by this, their hashes differ in the high bits as well. */
    private const val HASH_MULTIPLIER = -0x61c88647
    private const val HASH_SHIFT = 16

    /**
     * How many pages [machines] need in values of [valueKb], at least [current]: doubled as they fill up, so that a
     * page splits in two and most rows stay where they are.
     */
    fun count(machines: Int, valueKb: Double, current: Int): Int {
        var pages = maxOf(1, current)
        while (machines.toDouble() * ROW_BYTES * UNEVENNESS > pages * valueKb * BYTES_PER_KIB * MAX_FILL) pages *= 2
        return pages
    }

    /** The page, of [pages], that holds the machine's row. */
    fun pageOf(machineName: String, pages: Int): Int =
        Math.floorMod(machineName.hashCode() * HASH_MULTIPLIER ushr HASH_SHIFT, pages)

    /** The most recently used of [images] that fit a row, in their order. */
    fun imagesThatFit(images: List<String>): List<String> {
        var remaining = ROW_BYTES - ROW_BYTES_WITHOUT_IMAGES
        return images.asReversed().takeWhile { name ->
            remaining -= name.length + BYTES_PER_IMAGE
            remaining >= 0
        }.asReversed()
    }
}
