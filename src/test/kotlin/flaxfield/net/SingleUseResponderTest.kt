package flaxfield.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SingleUseResponderTest {
    @Test
    fun `a request is answered once`() {
        // On a persistent connection a client takes a second response for that to its next request.
        val sent = ArrayList<Int>()
        val responder = SingleUseResponder { status, _, _ -> sent += status }
        responder.send(503, Body.EMPTY, 1)
        responder.send(200, Body.EMPTY, null)
        assertEquals(listOf(503), sent)
    }
}
