package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A request that records what was decided. */
final class FakeRequest implements Waiting {
    private final String id;
    private final Rank rank;
    boolean begun;
    private final long arrivalNanos;
    private final Duration target;
    private final Duration patience;
    private final Set<String> tried = new HashSet<>();
    Optional<Choice> choice = Optional.empty();
    Optional<Refusal> refusal = Optional.empty();

    FakeRequest(String id, Rank rank, long arrivalNanos, Duration target, Duration patience) {
        this.id = id;
        this.rank = rank;
        this.arrivalNanos = arrivalNanos;
        this.target = target;
        this.patience = patience;
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
    public long giveUpNanos() {
        return arrivalNanos + patience.toNanos();
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public int promptTokens() {
        return 800;
    }

    @Override
    public Set<String> tried() {
        return tried;
    }

    @Override
    public void dispatch(Choice chosen) {
        choice = Optional.of(chosen);
        chosen.upstream().started(promptTokens(), arrivalNanos);
    }

    @Override
    public void refuse(Refusal reason) {
        refusal = Optional.of(reason);
    }
}
