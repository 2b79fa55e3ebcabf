package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.List;
import org.masticcroft.kernel.time.TimeSource;

/**
 * When an engine may change to new weights. An engine that loads accepts nothing until its running answers have ended,
 * so half of the machines let the others load first, as long as the older weights may serve.
 */
final class LoadTurn {
    /** Time that the first half needs to finish its answers and load; answers take 1.4 s in the middle. */
    private static final Duration FIRST_HALF = Duration.ofMillis(1700);

    /** Time before the bound on the older weights at which every engine loads; no new work would reach it anyway. */
    private static final Duration MARGIN = Duration.ofMillis(1200);

    private final TimeSource time;
    private final String ownIp;
    private final Duration bound;
    private long namedNanos;
    private long completeNanos;
    private boolean complete;

    LoadTurn(TimeSource time, String ownIp, Duration bound) {
        this.time = time;
        this.ownIp = ownIp;
        this.bound = bound;
    }

    /** Records that a version was named. */
    void named() {
        namedNanos = time.nanoTime();
        complete = false;
    }

    /** Records that another version is fetched, or the same one again. */
    void restart() {
        complete = false;
    }

    /**
     * Returns whether the engine may load the version that is complete here.
     *
     * @param servesOlder whether the engine serves older weights now
     * @param others IP addresses of the other machines
     */
    boolean has(boolean servesOlder, List<String> others) {
        if (!complete) {
            complete = true;
            completeNanos = time.nanoTime();
        }
        return !servesOlder
                || isFirst(others)
                || time.since(completeNanos).compareTo(FIRST_HALF) >= 0
                || time.since(namedNanos).compareTo(bound.minus(MARGIN)) >= 0;
    }

    /** Returns whether the machine is in the first half: every second one in the order of the addresses. */
    private boolean isFirst(List<String> others) {
        long before = others.stream().filter(ip -> ip.compareTo(ownIp) < 0).count();
        return before % 2 == 0;
    }
}
