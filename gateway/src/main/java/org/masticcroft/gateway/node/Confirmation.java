package org.masticcroft.gateway.node;

import java.time.Duration;
import org.masticcroft.gateway.fleet.StoreFreshness;

/** What an entry may still do on the configuration that it holds, given how long ago the store confirmed it. */
final class Confirmation {
    /** Part of the time for revocations after which unconfirmed keys are refused; the rest covers the way back. */
    private static final double KEYS_SHARE = 0.84;

    /** Part of the time for revocations after which the entry asks for no new connections. */
    private static final double READY_SHARE = 0.6;

    private final StoreFreshness contact;
    private final Duration revocation;

    Confirmation(StoreFreshness contact, Duration revocation) {
        this.contact = contact;
        this.revocation = revocation;
    }

    /** Returns whether a key of the configuration may still be taken as valid. */
    boolean holdsForKeys() {
        return contact.age().compareTo(share(KEYS_SHARE)) < 0;
    }

    /** Returns whether the entry should get new connections. */
    boolean holdsForReadiness() {
        return contact.age().compareTo(share(READY_SHARE)) < 0;
    }

    private Duration share(double part) {
        return Duration.ofMillis((long) (revocation.toMillis() * part));
    }
}
