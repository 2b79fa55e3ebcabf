package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encodes the responses of a connection. Those to HEAD requests end with their headers, whatever these state. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private final BooleanSupplier answersHead;

    /**
     * Creates an encoder.
     *
     * @param answersHead returns whether the response that begins now is one to a HEAD request
     */
    CallerResponseEncoder(BooleanSupplier answersHead) {
        this.answersHead = answersHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answersHead.getAsBoolean() || super.isContentAlwaysEmpty(response);
    }
}
