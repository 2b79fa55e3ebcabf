package org.masticcroft.gateway.config;

/** States whether the requests of a route may run more than once, and whether their responses are streams. */
public enum RouteKind {
    /** A request has the same effect whether it runs once or several times. */
    IDEMPOTENT,
    /** A request may run at most once each time its caller sends it. */
    AT_MOST_ONCE,
    /** The response is a stream of numbered events. */
    STREAM
}
