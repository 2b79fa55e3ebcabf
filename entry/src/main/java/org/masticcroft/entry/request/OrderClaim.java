package org.masticcroft.entry.request;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.ClaimResult;
import org.masticcroft.kernel.claim.ClaimEntry;
import org.masticcroft.wire.generated.Claim;

/** Claim of one non-idempotent request. Not safe for use by many threads. */
final class OrderClaim {
    private final ClaimLog log;
    private final String keyDigest;
    private Optional<String> undecided = Optional.empty();
    private Optional<ClaimEntry.Claim> owned = Optional.empty();

    OrderClaim(ClaimLog log, String keyDigest) {
        this.log = log;
        this.keyDigest = keyDigest;
    }

    String keyDigest() {
        return keyDigest;
    }

    boolean isUndecided() {
        return undecided.isPresent();
    }

    boolean isOwned() {
        return owned.isPresent();
    }

    CompletableFuture<ClaimResult> claim() {
        String attemptId = UUID.randomUUID().toString();
        undecided = Optional.of(attemptId);
        return log.claim(keyDigest, attemptId);
    }

    void decided(ClaimResult result) {
        undecided = Optional.empty();
        if (result instanceof ClaimResult.Owned mine) {
            owned = Optional.of(mine.claim());
        }
    }

    boolean isLapsed(Instant now) {
        return owned.map(claim -> now.toEpochMilli() >= claim.dispatchByEpochMillis())
                .orElse(true);
    }

    Claim toWire() {
        ClaimEntry.Claim claim = owned.orElseThrow();
        return Claim.newBuilder()
                .setKeyDigest(claim.keyDigest())
                .setAttemptId(claim.attemptId())
                .setDispatchByEpochMs(claim.dispatchByEpochMillis())
                .build();
    }

    /** Records that the order was not executed and never will be under this claim. */
    void notRun() {
        undecided
                .or(() -> owned.map(ClaimEntry.Claim::attemptId))
                .ifPresent(attemptId -> log.abandon(keyDigest, attemptId));
        undecided = Optional.empty();
        owned = Optional.empty();
    }

    /** Records that the order was executed. */
    void ran(int status, Optional<String> answerDigest) {
        owned.ifPresent(
                claim -> log.outcome(ClaimEntry.Outcome.ran(keyDigest, claim.attemptId(), status, answerDigest)));
        owned = Optional.empty();
    }
}
