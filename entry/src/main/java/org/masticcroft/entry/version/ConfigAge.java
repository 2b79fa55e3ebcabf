package org.masticcroft.entry.version;

import java.time.Duration;
import org.masticcroft.kernel.config.ConfigView;

/** Age of the configuration, that is the time since it was last confirmed, for audit records and peer messages. */
public final class ConfigAge {
    private static final Duration MAX_AGE = Duration.ofDays(365);

    private ConfigAge() {}

    /** Returns the age in milliseconds, at most one year; this is also the age of a never confirmed configuration. */
    public static long millis(ConfigView config) {
        Duration age = config.age();
        return age.compareTo(MAX_AGE) > 0 ? MAX_AGE.toMillis() : age.toMillis();
    }
}
