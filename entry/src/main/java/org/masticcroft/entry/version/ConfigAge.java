package org.masticcroft.entry.version;

import java.time.Duration;
import org.masticcroft.kernel.config.ConfigView;

/** Time since the configuration was confirmed, for records and messages. */
public final class ConfigAge {
    private static final Duration LONGEST = Duration.ofDays(365);

    private ConfigAge() {}

    /** Returns the age in milliseconds; a configuration that was never confirmed counts as one year old. */
    public static long millis(ConfigView config) {
        Duration age = config.age();
        return age.compareTo(LONGEST) > 0 ? LONGEST.toMillis() : age.toMillis();
    }
}
