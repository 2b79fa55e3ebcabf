package org.masticcroft.kernel.claim;

import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * State of all idempotency keys, folded from the claim stream. The state depends only on the records and their order,
 * so that all readers that have reached the same offset agree. Not thread-safe; the caller guards the table with a
 * lock.
 *
 * <p>The first claim of a key owns the key, as does the first claim after a {@code NOT_RUN} outcome of the owner. An
 * outcome applies only to its own attempt. A {@code NOT_RUN} outcome that precedes its claim voids that claim, because
 * the writer had abandoned the attempt before the log accepted the claim.
 */
public final class ClaimTable {
    private final Map<String, KeyHistory> keys = new LinkedHashMap<>();

    private ClaimTable() {}

    /** Creates an empty table. */
    public static ClaimTable empty() {
        return new ClaimTable();
    }

    /** Returns the state of a key. */
    public ClaimState state(String keyDigest) {
        KeyHistory history = keys.get(Objects.requireNonNull(keyDigest, "keyDigest"));
        return history == null ? new ClaimState.Free() : history.state();
    }

    /** Returns whether the attempt owns the key and has no outcome yet. */
    public boolean isOwner(String keyDigest, String attemptId) {
        return state(keyDigest) instanceof ClaimState.Open open
                && open.owner().attemptId().equals(attemptId);
    }

    /** Returns the number of keys in the table. */
    public int size() {
        return keys.size();
    }

    /**
     * Applies the next record of the stream.
     *
     * @param batch the record
     * @param logTime time at which the log accepted the record
     */
    public void apply(ClaimBatch batch, Instant logTime) {
        for (ClaimEntry entry : batch.entries()) {
            KeyHistory history = keys.computeIfAbsent(entry.keyDigest(), key -> new KeyHistory());
            history.lastRecordTime = logTime;
            if (entry instanceof ClaimEntry.Claim claim) {
                history.applyClaim(claim);
            } else if (entry instanceof ClaimEntry.Outcome outcome) {
                history.applyOutcome(outcome);
            }
        }
    }

    /** Removes keys without a record at or after {@code instant}; their lifetime must have ended. */
    public void evictBefore(Instant instant) {
        keys.values().removeIf(history -> history.lastRecordTime.isBefore(instant));
    }

    private static final class KeyHistory {
        private Set<String> claimedAttempts = new HashSet<>();
        private Set<String> voidedAttempts = new HashSet<>();
        private ClaimEntry.Claim owner;
        private ClaimEntry.Outcome outcome;
        private Instant lastRecordTime;

        private ClaimState state() {
            if (owner == null) {
                return new ClaimState.Free();
            }
            return outcome == null ? new ClaimState.Open(owner) : new ClaimState.Ran(owner, outcome);
        }

        private void applyClaim(ClaimEntry.Claim claim) {
            if (outcome != null) {
                return;
            }
            boolean isFirstCopy = claimedAttempts.add(claim.attemptId());
            if (isFirstCopy && owner == null && !voidedAttempts.contains(claim.attemptId())) {
                owner = claim;
            }
        }

        private void applyOutcome(ClaimEntry.Outcome newOutcome) {
            boolean isOwnerOutcome =
                    owner != null && outcome == null && owner.attemptId().equals(newOutcome.attemptId());
            if (isOwnerOutcome && newOutcome.verdict() == Verdict.RAN) {
                outcome = newOutcome;
                clearAttempts();
            } else if (isOwnerOutcome && newOutcome.verdict() == Verdict.NOT_RUN) {
                owner = null;
            } else if (outcome == null && newOutcome.verdict() == Verdict.NOT_RUN) {
                voidedAttempts.add(newOutcome.attemptId());
            }
        }

        /** Frees memory: no record changes a key after its execution, and most keys in the table are executed. */
        private void clearAttempts() {
            claimedAttempts = Set.of();
            voidedAttempts = Set.of();
        }
    }
}
