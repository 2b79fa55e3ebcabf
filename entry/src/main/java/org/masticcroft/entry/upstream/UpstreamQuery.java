package org.masticcroft.entry.upstream;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What a request demands of an upstream.
 *
 * @param target deployment or service
 * @param pinnedDigest digest that a started stream must keep, if any
 * @param urgent whether the request belongs to the most urgent rank
 * @param excluded upstreams on which the request failed before; used again only if there is no other
 * @param allowed further condition on the name of the upstream
 */
public record UpstreamQuery(
        Target target, Optional<String> pinnedDigest, boolean urgent, Set<String> excluded, Predicate<String> allowed) {
    public UpstreamQuery {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(pinnedDigest, "pinnedDigest");
        Objects.requireNonNull(allowed, "allowed");
        excluded = Set.copyOf(excluded);
    }

    /** Creates a query without conditions beyond the target. */
    public static UpstreamQuery of(Target target) {
        return new UpstreamQuery(target, Optional.empty(), false, Set.of(), upstream -> true);
    }
}
