package org.masticcroft.cli;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.masticcroft.kernel.config.DurationText;
import org.masticcroft.kernel.error.ErrorCode;
import picocli.CommandLine;

/** Validates settings at the start of a command and reports all problems at once. */
public final class SettingValidator {
    /** URL scheme for the address of the platform's store. */
    public static final String STORE_SCHEME = "store";

    private final List<String> problems = new ArrayList<>();

    /** Returns the HTTP URL in a setting, or null after recording a problem. */
    public URI httpUrl(String flag, String value) {
        Optional<URI> url = parseUrl(value, Set.of("http", "https"));
        if (url.isEmpty()) {
            addProblem(flag, value, "an http or https URL with a host, such as http://10.0.0.1:7100");
        }
        return url.orElse(null);
    }

    /** Returns the URL of a log service or of the platform's store, or null after recording a problem. */
    public URI logUrl(String flag, String value) {
        Optional<URI> url = parseUrl(value, Set.of("http", "https", STORE_SCHEME));
        if (url.isEmpty()
                || (url.get().getScheme().equals(STORE_SCHEME) && url.get().getPort() < 0)) {
            addProblem(
                    flag,
                    value,
                    "a URL with a host, such as http://10.0.0.1:7100 or " + STORE_SCHEME + "://10.0.0.1:8007");
            return null;
        }
        return url.get();
    }

    /** Returns the duration in a setting, or null after recording a problem. */
    public Duration duration(String flag, String value, Duration min, Duration max) {
        Optional<Duration> duration =
                DurationText.parse(value).filter(parsed -> parsed.compareTo(min) >= 0 && parsed.compareTo(max) <= 0);
        if (duration.isEmpty()) {
            addProblem(flag, value, "a duration from " + DurationText.format(min) + " to " + DurationText.format(max));
        }
        return duration.orElse(null);
    }

    /**
     * Ends the command if a problem was recorded.
     *
     * @throws CommandLine.ParameterException with all problems
     */
    public void throwIfAny(CommandLine command) {
        if (!problems.isEmpty()) {
            throw new CommandLine.ParameterException(command, String.join(System.lineSeparator(), problems));
        }
    }

    private void addProblem(String flag, String value, String accepted) {
        problems.add("setting " + flag + " (" + EnvironmentDefaults.variableName(flag) + ") is '" + value
                + "'; accepted: " + accepted + " [" + ErrorCode.INVALID_SETTING + "]");
    }

    private static Optional<URI> parseUrl(String value, Set<String> schemes) {
        try {
            URI url = URI.create(value);
            boolean schemeAccepted = url.getScheme() != null && schemes.contains(url.getScheme());
            return schemeAccepted && url.getHost() != null ? Optional.of(url) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
