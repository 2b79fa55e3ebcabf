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

/** Checks settings at the start of a command and reports all problems at once. */
public final class SettingProblems {
    /** Scheme of the address of the platform's store. */
    public static final String STORE = "store";

    private final List<String> problems = new ArrayList<>();

    /** Returns the URL that a setting has, or null after a problem was noted. */
    public URI url(String flag, String value) {
        Optional<URI> url = parseUrl(value, Set.of("http", "https"));
        if (url.isEmpty()) {
            add(flag, value, "an http or https URL with a host, such as http://10.0.0.1:7100");
        }
        return url.orElse(null);
    }

    /** Returns the URL of a log service or of the platform's store, or null after a problem was noted. */
    public URI logUrl(String flag, String value) {
        Optional<URI> url = parseUrl(value, Set.of("http", "https", STORE));
        if (url.isEmpty() || (url.get().getScheme().equals(STORE) && url.get().getPort() < 0)) {
            add(flag, value, "a URL with a host, such as http://10.0.0.1:7100 or " + STORE + "://10.0.0.1:8007");
            return null;
        }
        return url.get();
    }

    /** Returns the duration that a setting has, or null after a problem was noted. */
    public Duration duration(String flag, String value, Duration least, Duration most) {
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
    public void throwIfAny(CommandLine command) {
        if (!problems.isEmpty()) {
            throw new CommandLine.ParameterException(command, String.join(System.lineSeparator(), problems));
        }
    }

    private void add(String flag, String value, String accepted) {
        problems.add("setting " + flag + " (" + EnvironmentDefaults.variable(flag) + ") is '" + value + "'; accepted: "
                + accepted + " [" + ErrorCode.INVALID_SETTING + "]");
    }

    private static Optional<URI> parseUrl(String value, Set<String> schemes) {
        try {
            URI url = URI.create(value);
            boolean known = url.getScheme() != null && schemes.contains(url.getScheme());
            return known && url.getHost() != null ? Optional.of(url) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
