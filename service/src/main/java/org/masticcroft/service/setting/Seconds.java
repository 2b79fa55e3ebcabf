package org.masticcroft.service.setting;

import java.time.Duration;
import org.masticcroft.kernel.error.ErrorCode;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts a positive number of seconds, for example {@code 60} or {@code 0.5}. */
public final class Seconds implements ITypeConverter<Duration> {
    private static final double MAX_SECONDS = 86_400 * 366;
    private static final int MILLIS_PER_SECOND = 1000;

    @Override
    public Duration convert(String value) {
        try {
            double seconds = Double.parseDouble(value);
            if (seconds > 0 && seconds <= MAX_SECONDS) {
                return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
            }
        } catch (NumberFormatException e) {
            // Reported below together with values that are out of range.
        }
        throw new TypeConversionException(ErrorCode.INVALID_SETTING + ": value '" + value
                + "', accepted: seconds above 0 and at most " + (long) MAX_SECONDS);
    }
}
