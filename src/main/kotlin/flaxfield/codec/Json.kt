package flaxfield.codec

import com.fasterxml.jackson.core.JsonFactory

/** Decodes JSON documents as trees of maps, lists, strings, numbers, booleans and null. */
object Json {
    private val factory: JsonFactory =
        JsonFactory.builder().streamReadConstraints(TreeReader.constraints).build()

    /** Decodes a single JSON object; throws [MalformedException] if [bytes] contain anything else. */
    fun decode(bytes: ByteArray): FieldMap = TreeReader.read(factory.createParser(bytes))
}
