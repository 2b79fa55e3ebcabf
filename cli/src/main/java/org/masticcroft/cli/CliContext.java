package org.masticcroft.cli;

import java.io.InputStream;
import java.util.Map;
import java.util.Objects;
import org.masticcroft.cli.fleet.Pause;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.kernel.time.TimeSource;

/**
 * What commands use of their surroundings. A command class receives it if it has a constructor with this parameter.
 *
 * @param environment environment variables
 * @param platform opens connections to the platform
 * @param time time source
 * @param pause waits between two requests
 * @param input standard input
 */
public record CliContext(
        Map<String, String> environment, Platform.Factory platform, TimeSource time, Pause pause, InputStream input) {
    /** Copies the environment and rejects nulls. */
    public CliContext {
        environment = Map.copyOf(environment);
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(pause, "pause");
        Objects.requireNonNull(input, "input");
    }

    /** Returns the context of this process. */
    public static CliContext system() {
        return new CliContext(System.getenv(), Platform.http(), TimeSource.system(), Pause.sleeping(), System.in);
    }
}
