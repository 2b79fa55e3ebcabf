package org.masticcroft.entry.version;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.kernel.config.ConfigView;

/**
 * Prevents the entry from serving requests under a lower configuration version than a peer has reported. Thread-safe.
 */
public final class VersionGate {
    private final ConfigView config;
    private final ConfigFetcher fetcher;
    private final AtomicLong highestPeerVersion = new AtomicLong();

    private VersionGate(ConfigView config, ConfigFetcher fetcher) {
        this.config = config;
        this.fetcher = fetcher;
    }

    /**
     * Creates a gate.
     *
     * @param config configuration of this process
     * @param fetcher requests a newer configuration
     */
    public static VersionGate of(ConfigView config, ConfigFetcher fetcher) {
        return new VersionGate(Objects.requireNonNull(config, "config"), Objects.requireNonNull(fetcher, "fetcher"));
    }

    /** Records the configuration version that a message of a peer carries. */
    public void onPeerVersion(long version) {
        long previous = highestPeerVersion.getAndAccumulate(version, Math::max);
        if (version > previous && version > config.state().version()) {
            fetcher.fetchAtLeast(version);
        }
    }

    /**
     * Returns whether the configuration is recent enough to serve a caller; requests a newer one if not.
     *
     * @param minVersion lowest version that the caller accepts; 0 if any
     */
    public boolean isUpToDate(long minVersion) {
        long required = Math.max(minVersion, highestPeerVersion.get());
        boolean upToDate = config.state().version() >= required;
        if (!upToDate) {
            fetcher.fetchAtLeast(required);
        }
        return upToDate;
    }
}
