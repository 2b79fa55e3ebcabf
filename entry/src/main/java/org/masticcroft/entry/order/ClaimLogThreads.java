package org.masticcroft.entry.order;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** The two threads that append to and follow the claim stream. */
public final class ClaimLogThreads implements AutoCloseable {
    /** Interval of the group commit; keeps four entries at 80 appends a second. */
    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(50);

    private static final Duration READ_WAIT = Duration.ofSeconds(1);

    /** Pause after a failure, so that an outage of the log is not answered with a flood of calls. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(250);

    private final ClaimLog claims;
    private final Thread committer;
    private final Thread reader;
    private volatile boolean stopped;

    private ClaimLogThreads(ClaimLog claims) {
        this.claims = claims;
        this.committer = daemon("entry-claim-commit", this::commitOnce);
        this.reader = daemon("entry-claim-read", this::readOnce);
    }

    /** Starts both threads. */
    public static ClaimLogThreads start(ClaimLog claims) {
        ClaimLogThreads loops = new ClaimLogThreads(Objects.requireNonNull(claims, "claims"));
        loops.committer.start();
        loops.reader.start();
        return loops;
    }

    @Override
    public void close() {
        stopped = true;
        committer.interrupt();
        reader.interrupt();
    }

    private Thread daemon(String name, Step step) {
        Thread thread = new Thread(() -> run(step), name);
        thread.setDaemon(true);
        return thread;
    }

    private void run(Step step) {
        boolean failed = false;
        while (!stopped) {
            try {
                Thread.sleep(step.pauseAfterRun().toMillis());
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
    private interface Step {
        Duration pauseAfterRun();
    }
}
