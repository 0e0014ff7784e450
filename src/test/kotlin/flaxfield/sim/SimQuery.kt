package flaxfield.sim

import java.net.URLDecoder

/** The parameters in the query of a request's [target], decoded. */
fun parseQuery(target: String): Map<String, String> = target.substringAfter('?', "").split('&')
    .filter { it.isNotEmpty() }
    .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
