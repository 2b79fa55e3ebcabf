package org.masticcroft.gateway.loop;

import java.time.Duration;
import org.masticcroft.kernel.time.TimeSource;

/** Bounds when the input that an event loop handles has arrived. Used on that event loop only. */
public interface InputClock {
    /** Returns the monotonic time in nanoseconds before which no input that is handled now has arrived. */
    long earliestArrivalNanos();

    /** Returns the longest time for which an input that is handled now may have waited. */
    Duration longestWait();

    /** Returns the time for which the event loop has not looked for new input. */
    Duration sinceSelection();

    /** Returns the clock of an event loop that is taken to handle each input when it arrives. */
    static InputClock immediate(TimeSource time) {
        return new InputClock() {
            @Override
            public long earliestArrivalNanos() {
                return time.nanoTime();
            }

            @Override
            public Duration longestWait() {
                return Duration.ZERO;
            }

            @Override
            public Duration sinceSelection() {
                return Duration.ZERO;
            }
        };
    }
}
