package org.masticcroft.gateway.http;

import java.time.Duration;
import java.util.Optional;

/** Parses the {@code Keep-Alive} header, in which a server states its idle timeout. */
final class KeepAlive {
    static final String HEADER = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";

    private KeepAlive() {}

    /** Returns the value of the {@code timeout} parameter; empty if the header has no valid one. */
    static Optional<Duration> timeout(String header) {
        if (header == null) {
            return Optional.empty();
        }
        int start = header.indexOf(TIMEOUT);
        if (start < 0) {
            return Optional.empty();
        }
        int end = start + TIMEOUT.length();
        long seconds = 0;
        while (end < header.length() && Character.isDigit(header.charAt(end)) && seconds < Integer.MAX_VALUE) {
            seconds = seconds * 10 + Character.digit(header.charAt(end), 10);
            end++;
        }
        return end == start + TIMEOUT.length() ? Optional.empty() : Optional.of(Duration.ofSeconds(seconds));
    }
}
