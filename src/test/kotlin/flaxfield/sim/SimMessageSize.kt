package flaxfield.sim

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import flaxfield.codec.Cbor
import java.io.ByteArrayOutputStream

/** Measures messages as PROTOCOL-flaxfield.md counts them: by the bytes of their JSON form. */
object SimMessageSize {
    /** The limit on requests, and on responses to workers and users. */
    const val MAX_BYTES = 64 * 1024

    private val factory = JsonFactory()

    /** Returns the size of the JSON form of the CBOR map [body]. */
    fun jsonBytes(body: ByteArray): Int {
        if (body.isEmpty()) return 0
        val json = ByteArrayOutputStream()
        factory.createGenerator(json).use { write(it, Cbor.decode(body).map) }
        return json.size()
    }

    private fun write(json: JsonGenerator, value: Any?) {
        when (value) {
            is Map<*, *> -> {
                json.writeStartObject()
                for ((name, item) in value) {
                    json.writeFieldName(name.toString())
                    write(json, item)
                }
                json.writeEndObject()
            }
            is Collection<*> -> {
                json.writeStartArray()
                for (item in value) write(json, item)
                json.writeEndArray()
            }
            null -> json.writeNull()
            is Boolean -> json.writeBoolean(value)
            is Number -> json.writeNumber(value.toString())
            else -> json.writeString(value.toString())
        }
    }
}
