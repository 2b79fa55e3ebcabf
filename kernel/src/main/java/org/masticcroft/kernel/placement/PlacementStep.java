package org.masticcroft.kernel.placement;

import java.util.Objects;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * One step of a placement plan.
 *
 * @param action what to do
 * @param digest the weights concerned
 * @param reason short stable reason for the log
 * @param interruptsService whether no ready version remains on the engine while the step runs
 */
public record PlacementStep(Action action, WeightsDigest digest, String reason, boolean interruptsService) {
    public PlacementStep {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(reason, "reason");
    }

    /** Kind of step. */
    public enum Action {
        FETCH,
        LOAD,
        UNLOAD,
        DROP_STAGED
    }
}
