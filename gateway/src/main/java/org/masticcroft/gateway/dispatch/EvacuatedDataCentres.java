package org.masticcroft.gateway.dispatch;

import java.util.Objects;
import org.masticcroft.gateway.fleet.Evacuations;

/** Excludes the upstreams of data centres that the operator has evacuated. */
public final class EvacuatedDataCentres implements PlacementRule {
    private final Evacuations evacuations;

    private EvacuatedDataCentres(Evacuations evacuations) {
        this.evacuations = evacuations;
    }

    /** Creates a rule that follows the given evacuations. */
    public static EvacuatedDataCentres of(Evacuations evacuations) {
        return new EvacuatedDataCentres(Objects.requireNonNull(evacuations, "evacuations"));
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        return evacuations.inForce(upstream.listing().zone())
                ? PlacementDecision.DATA_CENTRE_EVACUATED
                : PlacementDecision.ALLOWED;
    }
}
