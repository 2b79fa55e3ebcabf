package org.masticcroft.ports.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a {@link ConfigTracker}.
 *
 * @param instance id of this instance, which does not ask itself for a configuration
 * @param longPoll time that the log may hold back the answer to a read without news; at most 2 s
 * @param retryDelay pause after a failed read of the log; at most 2 s
 * @param logRetention retention time of the log; if present, this process re-publishes snapshots before records expire
 */
public record TrackerSettings(
        String instance, Duration longPoll, Duration retryDelay, Optional<Duration> logRetention) {
    /** An accepted version must be in force everywhere within 8 s, so reads of the log are at most 2 s apart. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    private static final Duration DEFAULT_LONG_POLL = Duration.ofSeconds(1);
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(500);

    public TrackerSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(logRetention, "logRetention");
        requireShort(longPoll, "longPoll");
        requireShort(retryDelay, "retryDelay");
    }

    /** Returns the settings of a process that follows the configuration without re-publishing it. */
    public static TrackerSettings of(String instance) {
        return new TrackerSettings(instance, DEFAULT_LONG_POLL, DEFAULT_RETRY_DELAY, Optional.empty());
    }

    /** Returns these settings for a process that also re-publishes snapshots. */
    public TrackerSettings withLogRetention(Duration retention) {
        return new TrackerSettings(instance, longPoll, retryDelay, Optional.of(retention));
    }

    /** Returns these settings with another time for long polls. */
    public TrackerSettings withLongPoll(Duration newLongPoll) {
        return new TrackerSettings(instance, newLongPoll, retryDelay, logRetention);
    }

    private static void requireShort(Duration value, String name) {
        if (value.isNegative() || value.compareTo(LONGEST_PAUSE) > 0) {
            throw new IllegalArgumentException(name + " must be between 0 and " + LONGEST_PAUSE + ", is " + value);
        }
    }
}
