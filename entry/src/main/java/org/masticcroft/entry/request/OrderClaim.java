package org.masticcroft.entry.request;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.ClaimResult;
import org.masticcroft.kernel.claim.ClaimEntry;
import org.masticcroft.wire.generated.Claim;

/** Claim of one order on its idempotency key. Not thread-safe. */
final class OrderClaim {
    private final ClaimLog log;
    private final String keyDigest;
    private final String requestDigest;
    private Optional<String> undecidedAttemptId = Optional.empty();
    private Optional<ClaimEntry.Claim> ownedClaim = Optional.empty();

    OrderClaim(ClaimLog log, String keyDigest, String requestDigest) {
        this.log = log;
        this.keyDigest = keyDigest;
        this.requestDigest = requestDigest;
    }

    String keyDigest() {
        return keyDigest;
    }

    boolean isUndecided() {
        return undecidedAttemptId.isPresent();
    }

    boolean isOwned() {
        return ownedClaim.isPresent();
    }

    CompletableFuture<ClaimResult> submit() {
        String attemptId = UUID.randomUUID().toString();
        undecidedAttemptId = Optional.of(attemptId);
        return log.claim(keyDigest, attemptId, requestDigest);
    }

    void onDecided(ClaimResult result) {
        undecidedAttemptId = Optional.empty();
        if (result instanceof ClaimResult.Owned owned) {
            ownedClaim = Optional.of(owned.claim());
        }
    }

    boolean isLapsed(Instant now) {
        return ownedClaim
                .map(claim -> now.toEpochMilli() >= claim.dispatchByEpochMillis())
                .orElse(true);
    }

    Claim toWire() {
        ClaimEntry.Claim claim = ownedClaim.orElseThrow();
        return Claim.newBuilder()
                .setKeyDigest(claim.keyDigest())
                .setAttemptId(claim.attemptId())
                .setDispatchByEpochMs(claim.dispatchByEpochMillis())
                .build();
    }

    /** Records that the order was not executed and never will be under this claim. */
    void recordNotRun() {
        undecidedAttemptId
                .or(() -> ownedClaim.map(ClaimEntry.Claim::attemptId))
                .ifPresent(attemptId -> log.abandon(keyDigest, attemptId));
        undecidedAttemptId = Optional.empty();
        ownedClaim = Optional.empty();
    }

    /** Records that the order was executed. */
    void recordRan(int status, Optional<String> answerDigest) {
        ownedClaim.ifPresent(
                claim -> log.appendOutcome(ClaimEntry.Outcome.ran(keyDigest, claim.attemptId(), status, answerDigest)));
        ownedClaim = Optional.empty();
    }
}
