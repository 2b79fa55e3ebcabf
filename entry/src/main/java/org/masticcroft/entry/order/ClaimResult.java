package org.masticcroft.entry.order;

import java.util.Objects;
import org.masticcroft.kernel.claim.ClaimEntry;

/** Result of a claim that this entry made. */
public sealed interface ClaimResult {
    /**
     * The attempt owns the key and may be dispatched.
     *
     * @param claim the claim
     */
    record Owned(ClaimEntry.Claim claim) implements ClaimResult {
        public Owned {
            Objects.requireNonNull(claim, "claim");
        }
    }

    /**
     * Another attempt owns the key and may have run or be running.
     *
     * @param owner claim of that attempt
     */
    record InProgress(ClaimEntry.Claim owner) implements ClaimResult {}

    /**
     * The order was executed.
     *
     * @param owner claim under which it was executed
     * @param outcome its outcome
     */
    record AlreadyRan(ClaimEntry.Claim owner, ClaimEntry.Outcome outcome) implements ClaimResult {}

    /** Another attempt owned the key when this claim was made, but ended without running; claim the key again. */
    record Lost() implements ClaimResult {}

    /**
     * The claim is certainly not in the log.
     *
     * @param reason message for the caller
     */
    record Unavailable(String reason) implements ClaimResult {}
}
