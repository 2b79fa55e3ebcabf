package org.masticcroft.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The data centres that the operator has evacuated, as this process last read them, and when it learned that an
 * evacuation was revoked. Used on the event loop only.
 */
public final class Evacuations {
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Long> revokedNanos = new HashMap<>();

    private Evacuations() {}

    /** Creates a state without evacuations. */
    public static Evacuations none() {
        return new Evacuations();
    }

    /** Records that the evacuation of a data centre is requested; returns false if this was known. */
    public boolean request(String dataCentre) {
        revokedNanos.remove(dataCentre);
        return evacuated.add(dataCentre);
    }

    /** Records that the evacuation of a data centre is revoked; returns false if none was in force. */
    public boolean revoke(String dataCentre, long nowNanos) {
        boolean inForce = evacuated.remove(dataCentre);
        if (inForce) {
            revokedNanos.put(dataCentre, nowNanos);
        }
        return inForce;
    }

    /** Returns the data centres whose evacuation is in force although it is not among the requested ones. */
    public List<String> notAmong(Collection<String> requested) {
        return evacuated.stream()
                .filter(dataCentre -> !requested.contains(dataCentre))
                .sorted()
                .toList();
    }

    /** Returns whether nothing may be sent to the upstreams of a data centre. */
    public boolean inForce(String dataCentre) {
        return evacuated.contains(dataCentre);
    }

    /** Returns the monotonic time in nanoseconds of the last revocation; empty if there was none since a request. */
    public OptionalLong revokedNanos(String dataCentre) {
        Long nanos = revokedNanos.get(dataCentre);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Returns the number of evacuated data centres. */
    public int count() {
        return evacuated.size();
    }
}
