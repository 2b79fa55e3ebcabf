package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The trailer fields of a request, which are validated and dropped, since they are not sent on. The decoder would keep
 * them until their end, at many times the memory of their bytes.
 */
final class DroppedTrailers extends DefaultHttpHeaders {
    private DroppedTrailers() {
        super(
                DefaultHttpHeadersFactory.trailersFactory().getNameValidator(),
                DefaultHttpHeadersFactory.trailersFactory().getValueValidator());
    }

    /** Returns the factory of the trailer fields of a decoder. */
    static HttpHeadersFactory factory() {
        return new Factory();
    }

    /** Replaces the field before, so that each one is validated and only the last one is in memory. */
    @Override
    public HttpHeaders add(String name, Object value) {
        clear();
        return super.add(name, value);
    }

    /** Replaces the field before, so that each one is validated and only the last one is in memory. */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        clear();
        return super.add(name, value);
    }

    private static final class Factory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new DroppedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DroppedTrailers();
        }
    }
}
