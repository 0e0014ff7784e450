package flaxfield.codec

import com.fasterxml.jackson.core.JsonFactory

/** JSON documents as trees of maps, lists, text, numbers, booleans and null. */
object Json {
    private val factory: JsonFactory =
        JsonFactory.builder().streamReadConstraints(TreeReader.constraints).build()

    /** Decodes one JSON object; throws [MalformedException] if [bytes] are anything else. */
    fun decode(bytes: ByteArray): FieldMap = TreeReader.read(factory.createParser(bytes))
}
