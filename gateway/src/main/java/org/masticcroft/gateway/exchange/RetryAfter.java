package org.masticcroft.gateway.exchange;

import java.time.Duration;

/** Formats the time after which a caller should come back. */
public final class RetryAfter {
    private RetryAfter() {}

    /** Returns the time in seconds with up to three decimals. */
    public static String format(Duration after) {
        long millis = after.toMillis();
        return millis / 1000 + "." + String.format("%03d", millis % 1000);
    }
}
