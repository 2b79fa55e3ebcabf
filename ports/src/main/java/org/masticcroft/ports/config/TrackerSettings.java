package org.masticcroft.ports.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a {@link ConfigTracker}.
 *
 * @param instance id of this instance, which is left out when peers are asked for a configuration
 * @param longPoll longest time that the log may hold a read open while it has no new record; at most 2 s
 * @param retryDelay pause after a failed read of the log; at most 2 s
 * @param logRetention retention time of the log; if present, this process re-publishes snapshots before records expire
 */
public record TrackerSettings(
        String instance, Duration longPoll, Duration retryDelay, Optional<Duration> logRetention) {
    /** An accepted version must be in force everywhere within 8 s, so reads of the log are at most 2 s apart. */
    private static final Duration MAX_READ_DELAY = Duration.ofSeconds(2);

    private static final Duration DEFAULT_LONG_POLL = Duration.ofSeconds(1);
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(500);

    public TrackerSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(logRetention, "logRetention");
        requireValidDelay(longPoll, "longPoll");
        requireValidDelay(retryDelay, "retryDelay");
    }

    /** Returns the settings of a process that reads the configuration without re-publishing snapshots. */
    public static TrackerSettings of(String instance) {
        return new TrackerSettings(instance, DEFAULT_LONG_POLL, DEFAULT_RETRY_DELAY, Optional.empty());
    }

    /** Returns these settings for a process that also re-publishes snapshots. */
    public TrackerSettings withLogRetention(Duration retention) {
        return new TrackerSettings(instance, longPoll, retryDelay, Optional.of(retention));
    }

    /** Returns these settings with another long-poll time. */
    public TrackerSettings withLongPoll(Duration newLongPoll) {
        return new TrackerSettings(instance, newLongPoll, retryDelay, logRetention);
    }

    private static void requireValidDelay(Duration value, String name) {
        if (value.isNegative() || value.compareTo(MAX_READ_DELAY) > 0) {
            throw new IllegalArgumentException(name + " must be between 0 and " + MAX_READ_DELAY + ", is " + value);
        }
    }
}
