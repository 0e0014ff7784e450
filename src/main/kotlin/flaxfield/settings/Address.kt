package flaxfield.settings

import flaxfield.codec.MalformedException

/** The host and port of one endpoint. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; throws [MalformedException] if [text] has another form. */
        fun parse(text: String): Address {
            val colonIndex = text.lastIndexOf(':')
            val port = if (colonIndex > 0) text.substring(colonIndex + 1).toIntOrNull() else null
            if (port == null || port !in 1..MAX_PORT) throw MalformedException("'$text' is not host:port")
            return Address(text.substring(0, colonIndex), port)
        }
    }
}
