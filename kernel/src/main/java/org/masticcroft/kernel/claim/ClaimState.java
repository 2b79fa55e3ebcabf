package org.masticcroft.kernel.claim;

import java.util.Objects;

/** State of an idempotency key. */
public sealed interface ClaimState {
    /** No attempt owns the key; a new claim may run the order. */
    record Free() implements ClaimState {}

    /**
     * An attempt owns the key and its outcome is unknown.
     *
     * @param owner the claim that owns the key
     */
    record Open(ClaimEntry.Claim owner) implements ClaimState {
        public Open {
            Objects.requireNonNull(owner, "owner");
        }
    }

    /**
     * The order was executed.
     *
     * @param owner the claim under which the order was executed
     * @param outcome outcome of that claim
     */
    record Ran(ClaimEntry.Claim owner, ClaimEntry.Outcome outcome) implements ClaimState {
        public Ran {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(outcome, "outcome");
        }
    }
}
