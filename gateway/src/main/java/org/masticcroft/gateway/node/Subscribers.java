package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.time.TimeSource;

/** Entries that subscribe to the load of an engine, about once a second each. */
final class Subscribers {
    /** Time after its last subscription for which an entry is sent load reports. */
    private static final Duration SUBSCRIPTION_LIFETIME = Duration.ofMillis(3500);

    /**
     * Time after the first subscription from which the number of entries is stated. Entries read the list of upstreams
     * at different times and subscribe once a second, and one subscription of each may be lost.
     */
    private static final Duration COMPLETION_TIME = Duration.ofMillis(2500);

    private final TimeSource time;
    private final Map<Address, Long> lastNanos = new HashMap<>();
    private long firstNanos;

    Subscribers(TimeSource time) {
        this.time = time;
    }

    void add(Address entry) {
        if (lastNanos.isEmpty()) {
            firstNanos = time.nanoTime();
        }
        lastNanos.put(entry, time.nanoTime());
    }

    void removeExpired() {
        long now = time.nanoTime();
        lastNanos.values().removeIf(nanos -> now - nanos > SUBSCRIPTION_LIFETIME.toNanos());
    }

    Set<Address> entries() {
        return lastNanos.keySet();
    }

    int size() {
        return lastNanos.size();
    }

    /** Returns the number of entries; 0 while some may not have subscribed yet. */
    int statedNumber() {
        boolean complete = !lastNanos.isEmpty() && time.since(firstNanos).compareTo(COMPLETION_TIME) >= 0;
        return complete ? lastNanos.size() : 0;
    }
}
