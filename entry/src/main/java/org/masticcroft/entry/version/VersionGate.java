package org.masticcroft.entry.version;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.kernel.config.ConfigView;

/**
 * Keeps the entry from acting on a lower configuration version than one that it has seen in a message of a peer. Safe
 * for use by many threads.
 */
public final class VersionGate {
    private final ConfigView config;
    private final ConfigCatchUp catchUp;
    private final AtomicLong seen = new AtomicLong();

    private VersionGate(ConfigView config, ConfigCatchUp catchUp) {
        this.config = config;
        this.catchUp = catchUp;
    }

    /**
     * Creates a gate.
     *
     * @param config what the process knows
     * @param catchUp asks the configuration component to fetch at least this version; must not block
     */
    public static VersionGate of(ConfigView config, ConfigCatchUp catchUp) {
        return new VersionGate(Objects.requireNonNull(config, "config"), Objects.requireNonNull(catchUp, "catchUp"));
    }

    /** Notes the version that a message of a peer carries. */
    public void onPeerVersion(long version) {
        long before = seen.getAndAccumulate(version, Math::max);
        if (version > before && version > config.state().version()) {
            catchUp.fetchAtLeast(version);
        }
    }

    /**
     * Returns whether the entry may act for a caller, and asks for a newer configuration if not.
     *
     * @param demanded version that the caller demands; 0 if none
     */
    public boolean isUpToDate(long demanded) {
        long required = Math.max(demanded, seen.get());
        boolean current = config.state().version() >= required;
        if (!current) {
            catchUp.fetchAtLeast(required);
        }
        return current;
    }
}
