package org.masticcroft.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Stops the caller side of an entry. Callers still get new connections at first, so a request is taken if it is
 * expected to end before the process does. After that, a request is taken only if its time limit ends before. All
 * limits count from the request to stop, because the platform counts the grace period from there and the event loop may
 * be late. Used on the event loop only, except where stated.
 */
final class GracefulStop {
    /** Time after the request to stop for which the platform still sends new connections. */
    private static final Duration DEREGISTRATION_DELAY = Duration.ofMillis(2600);

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** A caller that goes on at once after a response gets an answer, instead of a connection that is being closed. */
    private static final Duration IDLE_BEFORE_CLOSE = Duration.ofMillis(500);

    /** Time for which the last bytes of the responses leave the machine before the process ends. */
    private static final long FLUSH_MILLIS = 100;

    /** Longest time after the limit for which complete responses are still sent to callers that read slowly. */
    private static final Duration MAX_SEND = Duration.ofMillis(400);

    /** Fraction of the limit that bounds this time too, since a short grace period leaves less after the limit. */
    private static final int MAX_SEND_DIVISOR = 15;

    private final EventLoop loop;
    private final TimeSource time;
    private final HttpServer callers;
    private final Duration limit;
    private volatile OptionalLong requestedNanos = OptionalLong.empty();
    private boolean ended;

    /**
     * Creates a stop that is not requested.
     *
     * @param loop event loop
     * @param time clock
     * @param callers server that the callers are connected to
     * @param limit time from the request to stop until open requests are ended
     */
    GracefulStop(EventLoop loop, TimeSource time, HttpServer callers, Duration limit) {
        this.loop = loop;
        this.time = time;
        this.callers = callers;
        this.limit = limit;
    }

    /**
     * Notes the request to stop, which requests that arrive from then on are checked against. May be called on any
     * thread.
     *
     * @param nanos monotonic time of the request
     * @return false if the stop was requested before
     */
    synchronized boolean request(long nanos) {
        if (requestedNanos.isPresent()) {
            return false;
        }
        requestedNanos = OptionalLong.of(nanos);
        return true;
    }

    boolean requested() {
        return requestedNanos.isPresent();
    }

    /**
     * Returns whether a request that has just arrived is taken.
     *
     * @param timeLimit longest time until the request ends
     * @param expected expected time until the request ends
     */
    boolean admits(Duration timeLimit, Duration expected) {
        if (!requested()) {
            return true;
        }
        Duration remaining = limit.minus(sinceRequest());
        Duration needed = untilDeregistered().isZero() ? timeLimit : shorter(timeLimit, expected);
        return needed.compareTo(remaining) < 0;
    }

    /** Returns the time for which callers that open a new connection may still reach this entry. */
    Duration untilDeregistered() {
        Duration remaining = DEREGISTRATION_DELAY.minus(sinceRequest());
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    /**
     * Begins the stop that was requested.
     *
     * @param endOpenRequests called at the limit to end the requests that are still open
     * @param finished called once no connection is left, or after the limit
     */
    void begin(Runnable endOpenRequests, Runnable finished) {
        callers.drain();
        scheduleAt(DEREGISTRATION_DELAY, () -> awaitConnections(finished));
        scheduleAt(limit, () -> reachLimit(endOpenRequests, finished));
    }

    private void scheduleAt(Duration afterRequest, Runnable task) {
        loop.schedule(task, afterRequest.minus(sinceRequest()).toNanos(), TimeUnit.NANOSECONDS);
    }

    private Duration sinceRequest() {
        return time.since(requestedNanos.orElseThrow());
    }

    /** Waits for the connections and not only for open requests, because a request may be arriving. */
    private void awaitConnections(Runnable finished) {
        callers.stopListening();
        callers.closeIdle(IDLE_BEFORE_CLOSE);
        if (callers.closed()) {
            end(finished);
        } else if (!ended) {
            loop.schedule(() -> awaitConnections(finished), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reachLimit(Runnable endOpenRequests, Runnable finished) {
        if (!ended) {
            endOpenRequests.run();
            awaitUnsentBytes(finished);
        }
    }

    /** Waits for bytes that callers have not taken yet, since the exit discards what is not passed to the kernel. */
    private void awaitUnsentBytes(Runnable finished) {
        Duration maxSend = shorter(MAX_SEND, limit.dividedBy(MAX_SEND_DIVISOR));
        if (callers.unsentBytes() == 0 || sinceRequest().compareTo(limit.plus(maxSend)) >= 0) {
            end(finished);
        } else if (!ended) {
            loop.schedule(() -> awaitUnsentBytes(finished), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void end(Runnable finished) {
        if (!ended) {
            ended = true;
            loop.schedule(finished, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
