package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpRequest;

/** Handles the requests of an HTTP server on the event loop. */
@FunctionalInterface
public interface RequestHandler {
    /** Handles a request that was read in full; the response must be completed or aborted, possibly later. */
    void handle(HttpRequest head, byte[] body, ResponseWriter writer);
}
