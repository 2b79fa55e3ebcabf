package org.masticcroft.gateway.exchange;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** The value of the {@code Retry-After} header, the time in seconds after which a caller should retry. */
public final class RetryAfter {
    /** Longest time that is respected; the header may hold any number. */
    private static final Duration MAX_DELAY = Duration.ofDays(1);

    private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d+)?");
    private static final double NANOS_PER_SECOND = 1e9;

    private RetryAfter() {}

    /**
     * Reads a delay in seconds, with or without a fraction, and at most one day.
     *
     * @param value value of the header; null if it is absent
     * @return the delay; empty if it is absent, zero, negative, a date, or not a number
     */
    public static Optional<Duration> parse(String value) {
        if (value == null || !SECONDS.matcher(value.trim()).matches()) {
            return Optional.empty();
        }
        double seconds = Math.min(Double.parseDouble(value.trim()), MAX_DELAY.toSeconds());
        return Optional.of(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)))
                .filter(delay -> !delay.isZero());
    }

    /** Returns the delay in seconds with three decimals. */
    public static String format(Duration delay) {
        long millis = delay.toMillis();
        return millis / 1000 + "." + String.format("%03d", millis % 1000);
    }
}
