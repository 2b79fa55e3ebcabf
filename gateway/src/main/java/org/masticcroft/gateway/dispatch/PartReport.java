package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What one process of the fleet knows about a suspected part of prompts. Times are ages, because processes share no
 * clock.
 *
 * @param part id of the part
 * @param crashes age of each crash of an upstream by the process of the upstream
 * @param answer age of the last response that began to a request with the part, if any
 * @param trial age of the last request with the part that was let through on trial, if any
 * @param activity age of the last request with the part that took part in a crash or was refused
 */
public record PartReport(
        long part,
        Map<Long, Duration> crashes,
        Optional<Duration> answer,
        Optional<Duration> trial,
        Duration activity) {
    public PartReport {
        crashes = Map.copyOf(crashes);
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(trial, "trial");
        Objects.requireNonNull(activity, "activity");
    }
}
