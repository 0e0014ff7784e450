package flaxfield.net

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates headers without Netty's validation of each character, which takes a notable share of the CPU time at hundreds
 * of requests a second. It is not needed: this program sets all sent headers, and reads only a few received ones.
 */
internal object Headers {
    val unchecked: HttpHeadersFactory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

    fun decoder(): HttpDecoderConfig = HttpDecoderConfig().setHeadersFactory(unchecked).setTrailersFactory(unchecked)
}
