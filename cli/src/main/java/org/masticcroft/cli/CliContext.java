package org.masticcroft.cli;

import java.io.InputStream;
import java.util.Map;
import java.util.Objects;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.fleet.Sleeper;
import org.masticcroft.kernel.time.TimeSource;

/**
 * External dependencies of the commands, which tests replace. A command class receives them if it has a constructor
 * with this type as its only parameter.
 *
 * @param environment environment variables
 * @param platform opens connections to the platform
 * @param time time source
 * @param sleeper waits between two requests
 * @param input standard input
 */
public record CliContext(
        Map<String, String> environment,
        Platform.Factory platform,
        TimeSource time,
        Sleeper sleeper,
        InputStream input) {
    /** Copies the environment and rejects nulls. */
    public CliContext {
        environment = Map.copyOf(environment);
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(sleeper, "sleeper");
        Objects.requireNonNull(input, "input");
    }

    /** Returns a context with the environment, clock and standard input of this process. */
    public static CliContext system() {
        return new CliContext(System.getenv(), Platform.http(), TimeSource.system(), Sleeper.system(), System.in);
    }
}
