package flaxfield.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SingleUseResponderTest {
    @Test
    fun `drops a second response to the same request`() {
        // On a persistent connection, the client would take the second response as that to its next request.
        val sent = ArrayList<Int>()
        val responder = SingleUseResponder { status, _, _ -> sent += status }
        responder.send(503, Body.EMPTY, 1)
        responder.send(200, Body.EMPTY, null)
        assertEquals(listOf(503), sent)
    }
}
