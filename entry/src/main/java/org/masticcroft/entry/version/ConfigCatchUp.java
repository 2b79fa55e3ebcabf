package org.masticcroft.entry.version;

/** Asks the configuration component to fetch a newer configuration. */
@FunctionalInterface
public interface ConfigCatchUp {
    /**
     * Called when a peer or a caller names a version that this process does not have. Called repeatedly; must not
     * block.
     *
     * @param version the version seen
     */
    void fetchAtLeast(long version);
}
