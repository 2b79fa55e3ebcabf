package org.masticcroft.gateway.node;

import java.time.Duration;
import org.masticcroft.gateway.fleet.StoreFreshness;

/**
 * Decides from the time since the store last confirmed the configuration whether an entry may still act on it, because
 * a key may have been removed in the meantime.
 */
final class ConfigValidity {
    /**
     * Fraction of the revocation bound after which keys of an unconfirmed configuration are no longer accepted. The
     * rest covers the way of the response back to the caller.
     */
    private static final double KEYS_FRACTION = 0.84;

    /** Fraction of the revocation bound after which the entry reports not ready, so that it gets no new connections. */
    private static final double READY_FRACTION = 0.6;

    private final StoreFreshness storeFreshness;
    private final Duration revocation;

    ConfigValidity(StoreFreshness storeFreshness, Duration revocation) {
        this.storeFreshness = storeFreshness;
        this.revocation = revocation;
    }

    /** Returns whether keys of the configuration may still be accepted. */
    boolean validForKeys() {
        return storeFreshness.age().compareTo(revocationFraction(KEYS_FRACTION)) < 0;
    }

    /** Returns whether the entry may report ready. */
    boolean validForReadiness() {
        return storeFreshness.age().compareTo(revocationFraction(READY_FRACTION)) < 0;
    }

    private Duration revocationFraction(double fraction) {
        return Duration.ofMillis((long) (revocation.toMillis() * fraction));
    }
}
