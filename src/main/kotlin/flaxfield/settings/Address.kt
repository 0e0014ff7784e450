package flaxfield.settings

import flaxfield.codec.MalformedException

/** The host and port of one endpoint. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; throws [MalformedException] if it is not one. */
        fun parse(text: String): Address {
            val at = text.lastIndexOf(':')
            val port = if (at > 0) text.substring(at + 1).toIntOrNull() else null
            if (port == null || port !in 1..MAX_PORT) throw MalformedException("'$text' is not host:port")
            return Address(text.substring(0, at), port)
        }
    }
}
