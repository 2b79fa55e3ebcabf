package org.masticcroft.gateway.exchange;

import java.time.Duration;

/** Formats the value of the {@code Retry-After} header, the time after which a caller should retry. */
public final class RetryAfter {
    private RetryAfter() {}

    /** Returns the delay in seconds with three decimals. */
    public static String format(Duration delay) {
        long millis = delay.toMillis();
        return millis / 1000 + "." + String.format("%03d", millis % 1000);
    }
}
