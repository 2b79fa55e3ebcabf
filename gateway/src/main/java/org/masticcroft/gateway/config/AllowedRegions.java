package org.masticcroft.gateway.config;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The regions in which a request may be served, cached and stored. */
public final class AllowedRegions {
    private static final AllowedRegions ALL = new AllowedRegions(Optional.empty());

    private final Optional<Set<String>> regions;

    private AllowedRegions(Optional<Set<String>> regions) {
        this.regions = regions;
    }

    /** Returns a value that allows every region. */
    public static AllowedRegions all() {
        return ALL;
    }

    /** Allows the regions with the given names; an empty collection allows every region. */
    public static AllowedRegions of(Collection<String> names) {
        return names.isEmpty() ? ALL : new AllowedRegions(Optional.of(Set.copyOf(names)));
    }

    /** Returns whether any region is excluded. */
    public boolean restricted() {
        return regions.isPresent();
    }

    public boolean allows(String region) {
        return regions.isEmpty() || regions.get().contains(region);
    }

    /** Returns the regions that both values allow, which may be none. */
    public AllowedRegions intersection(AllowedRegions other) {
        if (!restricted()) {
            return other;
        }
        if (!other.restricted()) {
            return this;
        }
        Set<String> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return new AllowedRegions(Optional.of(Set.copyOf(both)));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AllowedRegions that && regions.equals(that.regions);
    }

    @Override
    public int hashCode() {
        return regions.hashCode();
    }

    @Override
    public String toString() {
        return regions.map(Object::toString).orElse("all");
    }
}
