package org.masticcroft.cli;

import java.time.Duration;
import picocli.CommandLine.Option;

/** The setting {@code --wait}, for use as a mixin. */
public final class WaitSetting {
    private static final Duration LONGEST = Duration.ofMinutes(60);

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "8s",
            description = "Time for all instances to confirm a version. Variable MASTICCROFT_WAIT. Default: 8s.")
    private String wait;

    /** Returns the time to wait, or null after a problem was noted. */
    public Duration duration(SettingProblems problems) {
        return problems.duration("--wait", wait, Duration.ZERO, LONGEST);
    }
}
