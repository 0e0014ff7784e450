package flaxfield.membership

/**
 * Rendezvous (highest random weight) hashing: the member with the greatest weight for a key owns the key, so that the
 * loss of a member moves only its own keys. All processes must compute the same weights.
 */
internal object RendezvousHash {
    private const val FRACTION_SHIFT = 40
    private const val SEPARATOR = '|'
    private const val FNV_OFFSET = 0xcbf29ce484222325uL
    private const val FNV_PRIME = 0x100000001b3uL
    private const val FINALIZER_1 = 0xff51afd7ed558ccduL
    private const val FINALIZER_2 = 0xc4ceb9fe1a85ec53uL
    private const val FINALIZER_SHIFT = 33

    /** Returns the weight of [member] for [key]. */
    fun weight(key: String, member: String): ULong {
        var hash = FNV_OFFSET
        for (char in key) hash = (hash xor char.code.toULong()) * FNV_PRIME
        hash = (hash xor SEPARATOR.code.toULong()) * FNV_PRIME
        for (char in member) hash = (hash xor char.code.toULong()) * FNV_PRIME
        return finalize(hash)
    }

    /** Returns a deterministic fraction in [0, 1) for [key]. */
    fun fraction(key: String): Double =
        (weight(key, "") shr FRACTION_SHIFT).toDouble() / (1uL shl (ULong.SIZE_BITS - FRACTION_SHIFT)).toDouble()

    /** Mixes the bits: the last characters affect mainly the low bits of an FNV hash, which correlates like names. */
    private fun finalize(hash: ULong): ULong {
        val first = (hash xor (hash shr FINALIZER_SHIFT)) * FINALIZER_1
        val second = (first xor (first shr FINALIZER_SHIFT)) * FINALIZER_2
        return second xor (second shr FINALIZER_SHIFT)
    }
}
