package flaxfield.sim

import java.net.URLDecoder

/** Returns the decoded query parameters of a request's [target]. */
fun parseQuery(target: String): Map<String, String> = target.substringAfter('?', "").split('&')
    .filter { it.isNotEmpty() }
    .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
