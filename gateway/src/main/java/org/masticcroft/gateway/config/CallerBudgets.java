package org.masticcroft.gateway.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Budgets of a process for what its callers make it hold, over all connections.
 *
 * @param requestBytes memory for requests that are arriving, queued or being served
 * @param unreadBytes memory for responses that their callers have not read
 * @param connections connections of callers, or of other sidecars
 * @param internalConnections connections to the ports for metrics and readiness
 * @param upstreamConnections connections to upstreams, beyond which requests wait
 * @param bodyTimeout longest time for which a body may stop arriving, or wait for memory, if it is unknown how
 *     long its caller waits
 */
public record CallerBudgets(
        long requestBytes,
        long unreadBytes,
        int connections,
        int internalConnections,
        int upstreamConnections,
        Duration bodyTimeout) {
    /** Fraction of the heap for requests, as a divisor; six of the largest legal bodies at a heap of 96 MB. */
    private static final int REQUESTS_DIVISOR = 4;

    /** Fraction of the heap size for unread responses, as a divisor; most of them wait outside of the heap. */
    private static final int UNREAD_DIVISOR = 8;

    /** Fraction of the descriptors for connections of callers; most of the others are left for upstreams. */
    private static final double CONNECTIONS_SHARE = 0.625;

    /** Fraction of the descriptors for connections to the ports for metrics and readiness, as a divisor. */
    private static final int INTERNAL_DIVISOR = 32;

    /** Connections that are accepted before others are closed for them, as a fraction of the budget. */
    private static final int ACCEPTED_DIVISOR = 8;

    /** Descriptors for files, listeners and the store; a limit below 1600 has fewer. */
    private static final int OTHER_DESCRIPTORS = 200;

    private static final int OTHER_DIVISOR = 8;

    /** Longer than a short loss of the caller's link, shorter than the usual idle timeout of 15 s. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    /** Limits of this process. The management beans of the runtime state the same, but cost time at the start. */
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");

    /** Soft limit of the descriptors, for example {@code Max open files  2069  2069  files}. */
    private static final Pattern DESCRIPTORS = Pattern.compile("Max open files\\s+(\\d{1,9})\\s.*");

    /** Descriptors that are assumed if the limit of the process is unknown. */
    private static final long UNKNOWN_DESCRIPTORS = 1024;

    private static final int MAX_CONNECTIONS = 65_536;

    /** Requires positive values. */
    public CallerBudgets {
        Objects.requireNonNull(bodyTimeout, "bodyTimeout");
        if (requestBytes <= 0
                || unreadBytes <= 0
                || connections <= 0
                || internalConnections <= 0
                || upstreamConnections <= 0
                || bodyTimeout.isNegative()) {
            throw new IllegalArgumentException("budgets must be positive");
        }
    }

    /** Returns the budgets for the heap of this process and the limit of its descriptors. */
    public static CallerBudgets ofProcess() {
        return ofProcess(maxDescriptors());
    }

    /**
     * Returns the budgets for the heap of this process.
     *
     * @param descriptors descriptors of the process
     */
    public static CallerBudgets ofProcess(long descriptors) {
        return of(Runtime.getRuntime().maxMemory(), descriptors);
    }

    private static long maxDescriptors() {
        try (Stream<String> limits = Files.lines(PROCESS_LIMITS)) {
            return limits.map(DESCRIPTORS::matcher)
                    .filter(Matcher::matches)
                    .map(matcher -> Long.parseLong(matcher.group(1)))
                    .findFirst()
                    .orElse(UNKNOWN_DESCRIPTORS);
        } catch (IOException | UncheckedIOException e) {
            return UNKNOWN_DESCRIPTORS;
        }
    }

    /** Returns budgets that no caller reaches. */
    public static CallerBudgets unbounded() {
        return new CallerBudgets(
                Long.MAX_VALUE, Long.MAX_VALUE, MAX_CONNECTIONS, MAX_CONNECTIONS, MAX_CONNECTIONS, Duration.ofDays(1));
    }

    /** Returns the budgets for a heap of the given size in bytes and a limit of the file descriptors. */
    static CallerBudgets of(long heapBytes, long descriptors) {
        int callers = count(descriptors * CONNECTIONS_SHARE);
        int internal = count((double) descriptors / INTERNAL_DIVISOR);
        int accepted = (callers + internal) / ACCEPTED_DIVISOR;
        long other = Math.min(OTHER_DESCRIPTORS, descriptors / OTHER_DIVISOR);
        return new CallerBudgets(
                heapBytes / REQUESTS_DIVISOR,
                heapBytes / UNREAD_DIVISOR,
                callers,
                internal,
                count(descriptors - callers - internal - accepted - other),
                BODY_TIMEOUT);
    }

    private static int count(double descriptors) {
        return (int) Math.min(MAX_CONNECTIONS, Math.max(1, descriptors));
    }
}
