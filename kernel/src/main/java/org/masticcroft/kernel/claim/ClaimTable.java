package org.masticcroft.kernel.claim;

import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Fold of the claim stream. The state depends only on the records and their order, so every reader that has read as
 * far decides alike. Confined to one lock of its user.
 *
 * <p>The first claim of a key owns it, as does the first claim after a {@code NOT_RUN} outcome of the owner. An outcome
 * counts only for its own attempt. A {@code NOT_RUN} outcome that precedes its claim voids that claim: its writer had
 * given the attempt up before the log accepted the claim.
 */
public final class ClaimTable {
    private final Map<String, KeyHistory> keys = new LinkedHashMap<>();

    private ClaimTable() {}

    /** Creates a table without keys. */
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

    /** Returns the number of keys. */
    public int size() {
        return keys.size();
    }

    /**
     * Applies the next record.
     *
     * @param batch the record
     * @param logTime time at which the log accepted the record
     */
    public void apply(ClaimBatch batch, Instant logTime) {
        for (ClaimEntry entry : batch.entries()) {
            KeyHistory history = keys.computeIfAbsent(entry.keyDigest(), key -> new KeyHistory());
            history.lastChange = logTime;
            if (entry instanceof ClaimEntry.Claim claim) {
                history.claim(claim);
            } else if (entry instanceof ClaimEntry.Outcome outcome) {
                history.outcome(outcome);
            }
        }
    }

    /** Forgets keys without a record at or after {@code instant}; their lifetime must have ended. */
    public void evictBefore(Instant instant) {
        keys.values().removeIf(history -> history.lastChange.isBefore(instant));
    }

    private static final class KeyHistory {
        private Set<String> claimed = new HashSet<>();
        private Set<String> voided = new HashSet<>();
        private ClaimEntry.Claim owner;
        private ClaimEntry.Outcome outcome;
        private Instant lastChange;

        private ClaimState state() {
            if (owner == null) {
                return new ClaimState.Free();
            }
            return outcome == null ? new ClaimState.Open(owner) : new ClaimState.Ran(owner, outcome);
        }

        private void claim(ClaimEntry.Claim claim) {
            if (outcome != null) {
                return;
            }
            boolean first = claimed.add(claim.attemptId());
            if (first && owner == null && !voided.contains(claim.attemptId())) {
                owner = claim;
            }
        }

        private void outcome(ClaimEntry.Outcome result) {
            boolean ofOwner =
                    owner != null && outcome == null && owner.attemptId().equals(result.attemptId());
            if (ofOwner && result.verdict() == Verdict.RAN) {
                outcome = result;
                forgetAttempts();
            } else if (ofOwner && result.verdict() == Verdict.NOT_RUN) {
                owner = null;
            } else if (outcome == null && result.verdict() == Verdict.NOT_RUN) {
                voided.add(result.attemptId());
            }
        }

        /** After execution nothing can change the key, and most keys that are kept are executed. */
        private void forgetAttempts() {
            claimed = Set.of();
            voided = Set.of();
        }
    }
}
