package org.masticcroft.entry.order;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** Runs the two threads of the claim log, one that commits and one that reads. */
public final class ClaimLogThreads implements AutoCloseable {
    /** Interval of the group commit; limits four entries to 80 appends per second. */
    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(50);

    private static final Duration READ_WAIT = Duration.ofSeconds(1);

    /** Pause after a failure, so that an outage of the log does not cause a flood of calls. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(250);

    private final ClaimLog claims;
    private final Thread committer;
    private final Thread reader;
    private volatile boolean stopped;

    private ClaimLogThreads(ClaimLog claims) {
        this.claims = claims;
        this.committer = newDaemon("entry-claim-commit", this::commitOnce);
        this.reader = newDaemon("entry-claim-read", this::readOnce);
    }

    /** Starts both threads. */
    public static ClaimLogThreads start(ClaimLog claims) {
        ClaimLogThreads threads = new ClaimLogThreads(Objects.requireNonNull(claims, "claims"));
        threads.committer.start();
        threads.reader.start();
        return threads;
    }

    @Override
    public void close() {
        stopped = true;
        committer.interrupt();
        reader.interrupt();
    }

    private Thread newDaemon(String name, Iteration iteration) {
        Thread thread = new Thread(() -> run(iteration), name);
        thread.setDaemon(true);
        return thread;
    }

    private void run(Iteration iteration) {
        boolean failed = false;
        while (!stopped) {
            try {
                Thread.sleep(iteration.execute().toMillis());
                failed = false;
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                failed = pauseAfterFailure(e, failed);
            }
        }
    }

    private boolean pauseAfterFailure(RuntimeException failure, boolean failedBefore) {
        if (!failedBefore && !stopped) {
            EventLog.warn(Event.LOG_UNAVAILABLE, "stream", "claims", "cause", failure);
        }
        try {
            Thread.sleep(FAILURE_PAUSE.toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
        return true;
    }

    private Duration commitOnce() {
        return claims.commit() ? COMMIT_INTERVAL : FAILURE_PAUSE;
    }

    private Duration readOnce() {
        claims.read(READ_WAIT);
        return Duration.ZERO;
    }

    @FunctionalInterface
    private interface Iteration {
        /** Executes one iteration of a thread and returns the pause until the next one. */
        Duration execute();
    }
}
