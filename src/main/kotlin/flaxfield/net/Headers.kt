package flaxfield.net

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Headers without Netty's validation of each character: sent ones are the program's own, and of received ones only a
 * few are read. At hundreds of requests a second the validation takes a notable share of the processor time.
 */
internal object Headers {
    val unchecked: HttpHeadersFactory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

    fun decoder(): HttpDecoderConfig = HttpDecoderConfig().setHeadersFactory(unchecked).setTrailersFactory(unchecked)
}
