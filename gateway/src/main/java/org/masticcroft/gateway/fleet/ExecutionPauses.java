package org.masticcroft.gateway.fleet;

import java.time.Duration;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Notices that this process was not executed for a while, because it was frozen or its machine was suspended. What the
 * process learns just after a pause may have happened at any time since the pause began.
 */
public final class ExecutionPauses {
    /** Smallest time between two checks that counts as a pause; the checks are due every 100 ms. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(400);

    /** Time after a pause for which news may stem from it; by then the store has been read again. */
    private static final Duration CATCH_UP_TIME = Duration.ofSeconds(2);

    private final TimeSource time;
    private long checkedNanos;
    private long checkedWallMillis;

    /** Time from the begin of the last pause to its end, with the pauses from which the process had not caught up. */
    private Duration lastPause = Duration.ZERO;

    private long lastPauseEndNanos;

    private ExecutionPauses(TimeSource time) {
        this.time = time;
        this.checkedNanos = time.nanoTime();
        this.checkedWallMillis = time.now().toEpochMilli();
        this.lastPauseEndNanos = checkedNanos;
    }

    /** Creates the state of a process that has just been started. */
    public static ExecutionPauses watch(TimeSource time) {
        return new ExecutionPauses(time);
    }

    /**
     * Looks for a pause since the last check.
     *
     * @return the part of the pause that the monotonic clock does not count; zero if there is none
     */
    public Duration check() {
        long nanos = time.nanoTime();
        long wallMillis = time.now().toEpochMilli();
        Duration monotonic = Duration.ofNanos(nanos - checkedNanos);
        Duration wall = Duration.ofMillis(wallMillis - checkedWallMillis);
        Duration sincePause = Duration.ofNanos(checkedNanos - lastPauseEndNanos);
        checkedNanos = nanos;
        checkedWallMillis = wallMillis;
        Duration uncounted = wall.minus(monotonic);
        Duration elapsed = uncounted.isNegative() ? monotonic : wall;
        if (elapsed.compareTo(MIN_PAUSE) >= 0) {
            boolean caughtUp = lastPause.isZero() || sincePause.compareTo(CATCH_UP_TIME) > 0;
            lastPause = caughtUp ? elapsed : lastPause.plus(sincePause).plus(elapsed);
            lastPauseEndNanos = nanos;
        }
        return uncounted.compareTo(MIN_PAUSE) >= 0 ? uncounted : Duration.ZERO;
    }

    /** Returns how long ago news that this process receives now may have arisen; zero without a recent pause. */
    public Duration greatestAgeOfNews() {
        Duration sinceEnd = time.since(lastPauseEndNanos);
        return lastPause.isZero() || sinceEnd.compareTo(CATCH_UP_TIME) > 0 ? Duration.ZERO : lastPause.plus(sinceEnd);
    }
}
