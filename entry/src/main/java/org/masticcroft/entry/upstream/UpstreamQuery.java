package org.masticcroft.entry.upstream;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Requirements of a request on an upstream.
 *
 * @param target deployment or service
 * @param pinnedDigest weights digest on which a started stream must continue, if any
 * @param urgent whether the request belongs to the most urgent rank
 * @param excluded upstreams on which the request failed; used again only if no other upstream serves the target
 * @param allowed additional condition on the name of the upstream
 */
public record UpstreamQuery(
        Target target, Optional<String> pinnedDigest, boolean urgent, Set<String> excluded, Predicate<String> allowed) {
    public UpstreamQuery {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(pinnedDigest, "pinnedDigest");
        Objects.requireNonNull(allowed, "allowed");
        excluded = Set.copyOf(excluded);
    }

    /** Creates a query without requirements other than the target. */
    public static UpstreamQuery of(Target target) {
        return new UpstreamQuery(target, Optional.empty(), false, Set.of(), upstream -> true);
    }
}
