package flaxfield.net

/** The body of a response and its content type. */
class Body(val bytes: ByteArray, val type: String) {
    companion object {
        /** The content type of all bodies except metrics. */
        const val CBOR = "application/cbor"

        /** An empty body. */
        val EMPTY = Body(ByteArray(0), CBOR)
    }
}
