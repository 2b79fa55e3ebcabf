package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the HTTP headers of the platform and the request and response types of the gateway. */
public interface Dialect {
    /** Decodes a request of a caller. */
    CallerRequest decode(HttpRequest head, byte[] body);

    /** Encodes the request that is forwarded to an upstream. */
    FullHttpRequest encode(CallerRequest request, Forwarding forwarding);

    /** Decodes the head of an upstream's response. */
    ResponseHead decode(HttpResponse head);

    /** Returns the headers of an upstream's response that are forwarded to the caller. */
    HttpHeaders forwardedHeaders(HttpResponse head);
}
