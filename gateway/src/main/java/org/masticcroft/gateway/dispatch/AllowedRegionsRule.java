package org.masticcroft.gateway.dispatch;

import java.util.Objects;
import java.util.function.UnaryOperator;

/** Excludes the upstreams in regions that the route or the customer of a request does not allow. */
public final class AllowedRegionsRule implements PlacementRule {
    private final UnaryOperator<String> regionOf;

    private AllowedRegionsRule(UnaryOperator<String> regionOf) {
        this.regionOf = regionOf;
    }

    /**
     * Creates a rule.
     *
     * @param regionOf returns the region of a data centre
     */
    public static AllowedRegionsRule of(UnaryOperator<String> regionOf) {
        return new AllowedRegionsRule(Objects.requireNonNull(regionOf, "regionOf"));
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        return request.allowedRegions().allows(regionOf.apply(upstream.listing().zone()))
                ? PlacementDecision.ALLOWED
                : PlacementDecision.OUTSIDE_ALLOWED_REGIONS;
    }
}
