package org.masticcroft.entry.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.kernel.claim.ClaimBatch;
import org.masticcroft.kernel.claim.ClaimEntry;
import org.masticcroft.kernel.claim.ClaimState;
import org.masticcroft.kernel.claim.ClaimTable;
import org.masticcroft.kernel.claim.IdempotencyKey;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

/**
 * Appends claims and outcomes to the claim stream in group commits and reads the stream. The result of a claim is taken
 * only from reading it back, whatever the append returned. Thread-safe; {@link #commit} and {@link #read} block on the
 * log and are each called by one thread only.
 */
public final class ClaimLog {
    /** Time after a claim within which its attempt must be dispatched. */
    public static final Duration DISPATCH_TIMEOUT = Duration.ofSeconds(10);

    /** Limits the size of a record in the log. */
    private static final int MAX_BATCH_ENTRIES = 500;

    private static final int MAX_PAGE_RECORDS = 1000;

    private final String entryId;
    private final TimeSource time;
    private final LogService log;
    private final Duration keyLifetime;
    private final ClaimTable table = ClaimTable.empty();
    private final List<ClaimEntry> unsentEntries = new ArrayList<>();
    private final Map<String, PendingClaim> pendingClaims = new HashMap<>();
    private long nextOffset;
    private int committingCount;

    private ClaimLog(String entryId, TimeSource time, LogService log, Duration keyLifetime) {
        this.entryId = entryId;
        this.time = time;
        this.log = log;
        this.keyLifetime = keyLifetime;
    }

    /**
     * Creates a claim log that has not read the stream yet.
     *
     * @param entryId instance id of this entry
     * @param time clock
     * @param log the log service
     * @param keyLifetime lifetime of idempotency keys
     */
    public static ClaimLog of(String entryId, TimeSource time, LogService log, Duration keyLifetime) {
        return new ClaimLog(
                Objects.requireNonNull(entryId, "entryId"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(keyLifetime, "keyLifetime"));
    }

    /** Returns the state of a key as far as the stream has been read; it does not permit an order to run. */
    public synchronized ClaimState state(String keyDigest) {
        return table.state(keyDigest);
    }

    /** Returns the number of outcomes and claims that the log has not accepted yet. */
    public synchronized int unwrittenCount() {
        return unsentEntries.size() + committingCount;
    }

    /**
     * Claims a key with the next group commit.
     *
     * @param keyDigest digest of customer and key
     * @param attemptId new unique id of the attempt
     * @param requestDigest digest of the call
     * @return the future result; not completed while the stream cannot be read, see {@link #abandon}
     */
    public synchronized CompletableFuture<ClaimResult> claim(String keyDigest, String attemptId, String requestDigest) {
        long dispatchBy = time.now().plus(DISPATCH_TIMEOUT).toEpochMilli();
        ClaimEntry.Claim claim = new ClaimEntry.Claim(keyDigest, attemptId, entryId, requestDigest, dispatchBy);
        PendingClaim pendingClaim = new PendingClaim(claim, new CompletableFuture<>());
        pendingClaims.put(attemptId, pendingClaim);
        unsentEntries.add(claim);
        return pendingClaim.result;
    }

    /** Gives up the claim of an attempt that was not dispatched and never will be. */
    public synchronized void abandon(String keyDigest, String attemptId) {
        pendingClaims.remove(attemptId);
        boolean unsent = unsentEntries.removeIf(
                entry -> entry instanceof ClaimEntry.Claim && entry.attemptId().equals(attemptId));
        if (!unsent) {
            unsentEntries.add(ClaimEntry.Outcome.notRun(keyDigest, attemptId));
        }
    }

    /** Appends an outcome with the next group commit; it is appended again until the log has accepted it. */
    public synchronized void appendOutcome(ClaimEntry.Outcome outcome) {
        unsentEntries.add(Objects.requireNonNull(outcome, "outcome"));
    }

    /**
     * Appends the pending claims and outcomes as one record.
     *
     * @return whether the log accepted it or nothing was pending
     */
    public boolean commit() {
        List<ClaimEntry> entries = takeBatch();
        if (entries.isEmpty()) {
            return true;
        }
        ClaimBatch batch = new ClaimBatch(UUID.randomUUID().toString(), entries);
        try {
            log.append(Streams.CLAIMS, batch.toJson());
            onAppended();
            return true;
        } catch (MasticcroftException e) {
            onAppendFailure(batch, e.verdict() == Verdict.NOT_RUN, e);
        } catch (RuntimeException e) {
            onAppendFailure(batch, false, e);
        }
        return false;
    }

    /**
     * Reads further records and completes the claims that they contain.
     *
     * @param wait maximum time that the log waits for a first record
     * @throws MasticcroftException if the log does not respond
     */
    public void read(Duration wait) {
        LogPage page = log.read(Streams.CLAIMS, readPosition(), MAX_PAGE_RECORDS, wait);
        Map<PendingClaim, ClaimResult> decided = apply(page);
        decided.forEach((pendingClaim, result) -> {
            EventLog.info(
                    Event.CLAIM_DECIDED,
                    "key",
                    pendingClaim.claim.keyDigest(),
                    "attempt",
                    pendingClaim.claim.attemptId(),
                    "result",
                    result.getClass().getSimpleName());
            pendingClaim.result.complete(result);
        });
    }

    private synchronized long readPosition() {
        return nextOffset;
    }

    private synchronized List<ClaimEntry> takeBatch() {
        List<ClaimEntry> head = unsentEntries.subList(0, Math.min(unsentEntries.size(), MAX_BATCH_ENTRIES));
        List<ClaimEntry> batch = List.copyOf(head);
        head.clear();
        committingCount = batch.size();
        return batch;
    }

    private synchronized void onAppended() {
        committingCount = 0;
    }

    /**
     * Handles a failed append. Outcomes are appended again, because a second copy has no effect. If the log rejected
     * the append, its claims are not in the log. Otherwise they may be, and stay undecided until they are read back or
     * abandoned.
     */
    private void onAppendFailure(ClaimBatch batch, boolean rejected, RuntimeException failure) {
        Event event = rejected ? Event.CLAIMS_REFUSED : Event.CLAIMS_UNCERTAIN;
        EventLog.warn(
                event, "batch", batch.batchId(), "entries", batch.entries().size(), "cause", failure);
        List<PendingClaim> rejectedClaims = new ArrayList<>();
        synchronized (this) {
            committingCount = 0;
            batch.entries().stream()
                    .filter(ClaimEntry.Outcome.class::isInstance)
                    .forEach(unsentEntries::add);
            if (rejected) {
                batch.entries().stream()
                        .filter(ClaimEntry.Claim.class::isInstance)
                        .map(claim -> pendingClaims.remove(claim.attemptId()))
                        .filter(Objects::nonNull)
                        .forEach(rejectedClaims::add);
            }
        }
        rejectedClaims.forEach(pendingClaim ->
                pendingClaim.result.complete(new ClaimResult.Unavailable("the log rejected the claim of the order")));
    }

    private synchronized Map<PendingClaim, ClaimResult> apply(LogPage page) {
        List<PendingClaim> readBack = new ArrayList<>();
        for (LogRecord record : page.records()) {
            if (record.offset() >= nextOffset) {
                nextOffset = record.offset() + 1;
                ClaimBatch.fromJson(record.data()).ifPresent(batch -> {
                    table.apply(batch, record.time());
                    batch.entries().stream()
                            .filter(ClaimEntry.Claim.class::isInstance)
                            .map(claim -> pendingClaims.remove(claim.attemptId()))
                            .filter(Objects::nonNull)
                            .forEach(readBack::add);
                });
            }
        }
        nextOffset = Math.max(nextOffset, page.earliest());
        table.evictBefore(time.now().minus(IdempotencyKey.claimRetention(keyLifetime)));
        Map<PendingClaim, ClaimResult> decided = new HashMap<>();
        readBack.forEach(pendingClaim -> decided.put(pendingClaim, decide(pendingClaim.claim)));
        return decided;
    }

    private ClaimResult decide(ClaimEntry.Claim claim) {
        if (table.isOwner(claim.keyDigest(), claim.attemptId())) {
            return new ClaimResult.Owned(claim);
        }
        ClaimState state = table.state(claim.keyDigest());
        if (state instanceof ClaimState.Ran ran) {
            return new ClaimResult.AlreadyRan(ran.owner(), ran.outcome());
        }
        return state instanceof ClaimState.Open open
                ? new ClaimResult.InProgress(open.owner())
                : new ClaimResult.Lost();
    }

    private record PendingClaim(ClaimEntry.Claim claim, CompletableFuture<ClaimResult> result) {}
}
