package org.masticcroft.gateway.hedge;

import java.time.Duration;
import java.util.Optional;

/** Hedges no request and records nothing. */
final class NoHedging implements HedgePolicy {
    @Override
    public void recordRequest(String service) {
        // Nothing is derived from it.
    }

    @Override
    public void recordTimeToFirstByte(HedgeKey key, Duration timeToFirstByte) {
        // Nothing is derived from it.
    }

    @Override
    public Optional<Duration> delay(HedgeKey key) {
        return Optional.empty();
    }

    @Override
    public boolean worthwhile(HedgeKey key, Duration age, Duration predicted, Duration remaining) {
        return false;
    }

    @Override
    public boolean available(String service) {
        return false;
    }

    @Override
    public boolean tryAcquire(String service) {
        return false;
    }
}
