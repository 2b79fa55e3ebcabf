package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What the queue of a service would do with a request now.
 *
 * @param decision {@code sent}, {@code queued} or {@code refused}
 * @param reason reason of a refusal; empty otherwise
 * @param expectedWait predicted wait in the queue; zero if the request would be sent at once
 * @param waiting number of requests that wait
 * @param choice upstream to which the request would be sent at once
 * @param upstreams the upstreams of the service
 */
public record QueueForecast(
        String decision,
        String reason,
        Duration expectedWait,
        int waiting,
        Optional<QueuedRequest.Choice> choice,
        List<UpstreamAssessment> upstreams) {
    public QueueForecast {
        Objects.requireNonNull(decision, "decision");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(expectedWait, "expectedWait");
        upstreams = List.copyOf(upstreams);
    }
}
