package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Optional;

/** Tells how long callers wait for their responses. */
@FunctionalInterface
public interface CallerPatience {
    /**
     * Returns the time from the arrival of a request after which its caller no longer waits for the response.
     *
     * @param head head of the request, whose body may not have arrived
     * @return the time; empty if it is unknown
     */
    Optional<Duration> timeLimit(HttpRequest head);

    /** Returns callers that do not tell how long they wait. */
    static CallerPatience unknown() {
        return head -> Optional.empty();
    }
}
