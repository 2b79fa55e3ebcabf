package org.masticcroft.entry.version;

/** Requests a newer configuration from the configuration component. */
@FunctionalInterface
public interface ConfigFetcher {
    /**
     * Fetches a configuration of at least the given version. Called, possibly repeatedly, when a message of a peer or a
     * request of a caller states a version that this process does not have. Must not block.
     *
     * @param version the version stated
     */
    void fetchAtLeast(long version);
}
