package org.masticcroft.kernel.config;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text format of durations in configuration: a whole number with the unit {@code ms}, {@code s} or {@code m}. */
public final class DurationText {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,12})(ms|s|m)");
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MILLIS_PER_MINUTE = 60_000;

    private DurationText() {}

    /** Parses a duration; returns empty if {@code text} does not have this format. */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long amount = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(amount);
                    case "s" -> Duration.ofSeconds(amount);
                    default -> Duration.ofMinutes(amount);
                });
    }

    /** Formats a duration in the largest unit that gives a whole number; fractions of a millisecond are dropped. */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis != 0 && millis % MILLIS_PER_MINUTE == 0) {
            return millis / MILLIS_PER_MINUTE + "m";
        }
        return millis % MILLIS_PER_SECOND == 0 ? millis / MILLIS_PER_SECOND + "s" : millis + "ms";
    }
}
