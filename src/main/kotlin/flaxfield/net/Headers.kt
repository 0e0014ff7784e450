package flaxfield.net

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Headers without Netty's check of each character: those that we send are our own, and of those that come only a few
 * are looked at. At 200 requests a second on a small share of a core the check is worth leaving out.
 */
internal object Headers {
    val unchecked: HttpHeadersFactory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

    fun decoder(): HttpDecoderConfig = HttpDecoderConfig().setHeadersFactory(unchecked).setTrailersFactory(unchecked)
}
