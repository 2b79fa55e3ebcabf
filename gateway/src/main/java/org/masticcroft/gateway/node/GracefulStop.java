package org.masticcroft.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Stops the caller side of an entry. Callers still get new connections at first, so a request is taken if it is
 * expected to end before the process does. After that, a request is taken only if its time limit ends before. Used on
 * the event loop only.
 */
final class GracefulStop {
    /** Time after the request to stop for which the platform still sends new connections. */
    private static final Duration DEREGISTRATION_DELAY = Duration.ofMillis(2600);

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** A caller that goes on at once after a response gets an answer, instead of a connection that is being closed. */
    private static final Duration IDLE_BEFORE_CLOSE = Duration.ofMillis(500);

    /** Time for which the last bytes of the responses leave the machine before the process ends. */
    private static final long FLUSH_MILLIS = 100;

    private final EventLoop loop;
    private final TimeSource time;
    private final HttpServer callers;
    private final Duration limit;
    private boolean begun;
    private boolean ended;
    private long beginNanos;

    /**
     * Creates a stop that has not begun.
     *
     * @param loop event loop
     * @param time clock
     * @param callers server that the callers are connected to
     * @param limit time from the begin of the stop until open requests are ended
     */
    GracefulStop(EventLoop loop, TimeSource time, HttpServer callers, Duration limit) {
        this.loop = loop;
        this.time = time;
        this.callers = callers;
        this.limit = limit;
    }

    boolean begun() {
        return begun;
    }

    /**
     * Returns whether a request that has just arrived is taken.
     *
     * @param timeLimit longest time until the request ends
     * @param expected expected time until the request ends
     */
    boolean admits(Duration timeLimit, Duration expected) {
        if (!begun) {
            return true;
        }
        Duration remaining = limit.minus(time.since(beginNanos));
        Duration needed = untilDeregistered().isZero() ? timeLimit : shorter(timeLimit, expected);
        return needed.compareTo(remaining) < 0;
    }

    /** Returns the time for which callers that open a new connection may still reach this entry. */
    Duration untilDeregistered() {
        Duration remaining = DEREGISTRATION_DELAY.minus(time.since(beginNanos));
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    /**
     * Begins the stop.
     *
     * @param endOpenRequests called at the limit to end the requests that are still open
     * @param finished called once no connection is left, or after the limit
     */
    void begin(Runnable endOpenRequests, Runnable finished) {
        begun = true;
        beginNanos = time.nanoTime();
        callers.drain();
        loop.schedule(() -> awaitConnections(finished), DEREGISTRATION_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        loop.schedule(() -> reachLimit(endOpenRequests, finished), limit.toMillis(), TimeUnit.MILLISECONDS);
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
            end(finished);
        }
    }

    private void end(Runnable finished) {
        if (!ended) {
            ended = true;
            loop.schedule(finished, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
