package org.masticcroft.gateway.config;

/** States how often the requests of a route may run. */
public enum RouteKind {
    /** Repeating a request has the same effect as running it once. */
    IDEMPOTENT,
    /** A request may run at most once for each attempt of its caller. */
    AT_MOST_ONCE,
    /** The answer is a stream of numbered events. */
    STREAM
}
