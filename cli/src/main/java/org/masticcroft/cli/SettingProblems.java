package org.masticcroft.cli;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticcroft.kernel.config.DurationText;
import org.masticcroft.kernel.error.ErrorCode;
import picocli.CommandLine;

/** Checks settings at the start of a command and reports all problems at once. */
final class SettingProblems {
    private final List<String> problems = new ArrayList<>();

    /** Returns the URL that a setting has, or null after a problem was noted. */
    URI url(String flag, String value) {
        Optional<URI> url = parseUrl(value);
        if (url.isEmpty()) {
            add(flag, value, "an http or https URL with a host, such as http://10.0.0.1:7100");
        }
        return url.orElse(null);
    }

    /** Returns the duration that a setting has, or null after a problem was noted. */
    Duration duration(String flag, String value, Duration least, Duration most) {
        Optional<Duration> duration =
                DurationText.parse(value).filter(parsed -> parsed.compareTo(least) >= 0 && parsed.compareTo(most) <= 0);
        if (duration.isEmpty()) {
            add(flag, value, "a duration from " + DurationText.format(least) + " to " + DurationText.format(most));
        }
        return duration.orElse(null);
    }

    /**
     * Ends the command if a problem was noted.
     *
     * @throws CommandLine.ParameterException with all problems
     */
    void throwIfAny(CommandLine command) {
        if (!problems.isEmpty()) {
            throw new CommandLine.ParameterException(command, String.join(System.lineSeparator(), problems));
        }
    }

    private void add(String flag, String value, String accepted) {
        problems.add("setting " + flag + " (" + EnvironmentDefaults.variable(flag) + ") is '" + value + "'; accepted: "
                + accepted + " [" + ErrorCode.INVALID_SETTING + "]");
    }

    private static Optional<URI> parseUrl(String value) {
        try {
            URI url = URI.create(value);
            boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            return http && url.getHost() != null ? Optional.of(url) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
