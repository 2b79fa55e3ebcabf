package org.masticcroft.cli;

import java.time.Duration;
import picocli.CommandLine.Option;

/** Mixin with the setting {@code --wait}. */
public final class WaitSetting {
    private static final Duration MAX_WAIT = Duration.ofMinutes(60);

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "8s",
            description = "Time for all instances to confirm a version. Variable MASTICCROFT_WAIT. Default: 8s.")
    private String wait;

    /** Returns the longest time to wait for confirmations, or null if the setting is not valid. */
    public Duration timeout(SettingValidator validator) {
        return validator.duration("--wait", wait, Duration.ZERO, MAX_WAIT);
    }
}
