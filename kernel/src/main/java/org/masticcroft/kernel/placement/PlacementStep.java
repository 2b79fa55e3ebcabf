package org.masticcroft.kernel.placement;

import java.util.Objects;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * One step of a placement plan.
 *
 * @param action kind of step
 * @param digest digest of the weights to which the step applies
 * @param reason short stable identifier of the reason, for the log
 * @param interruptsService whether the engine has no loaded weights while the step runs
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
