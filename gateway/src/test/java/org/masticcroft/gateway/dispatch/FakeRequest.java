package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.masticcroft.gateway.config.AllowedRegions;

/** A request that records whether it was dispatched or refused. */
final class FakeRequest implements QueuedRequest {
    private final String id;
    private final Rank rank;
    boolean alreadySent;
    boolean hedge;
    int promptTokens = 800;
    int memoryTokens;
    private final long arrivalNanos;
    private final Duration target;
    private final Duration callerTimeout;
    private final Set<String> triedUpstreams = new HashSet<>();
    AllowedRegions allowedRegions = AllowedRegions.all();
    Optional<Choice> choice = Optional.empty();
    Optional<Refusal> refusal = Optional.empty();

    FakeRequest(String id, Rank rank, long arrivalNanos, Duration target, Duration callerTimeout) {
        this.id = id;
        this.rank = rank;
        this.arrivalNanos = arrivalNanos;
        this.target = target;
        this.callerTimeout = callerTimeout;
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public Rank rank() {
        return rank;
    }

    @Override
    public String customer() {
        return "c";
    }

    @Override
    public long waitingSinceNanos() {
        return arrivalNanos;
    }

    @Override
    public Duration target() {
        return target;
    }

    @Override
    public long firstByteDeadlineNanos() {
        return arrivalNanos + callerTimeout.toNanos();
    }

    @Override
    public boolean alreadySent() {
        return alreadySent;
    }

    @Override
    public int promptTokens() {
        return promptTokens;
    }

    @Override
    public int memoryTokens() {
        return memoryTokens;
    }

    @Override
    public Set<String> triedUpstreams() {
        return triedUpstreams;
    }

    @Override
    public boolean hedge() {
        return hedge;
    }

    @Override
    public AllowedRegions allowedRegions() {
        return allowedRegions;
    }

    @Override
    public void dispatch(Choice chosen) {
        choice = Optional.of(chosen);
        chosen.upstream().recordSend(promptTokens(), arrivalNanos);
    }

    @Override
    public void refuse(Refusal newRefusal) {
        refusal = Optional.of(newRefusal);
    }
}
