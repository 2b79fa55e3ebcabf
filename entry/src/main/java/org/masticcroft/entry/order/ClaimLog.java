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
 * Appends claims and outcomes to the claim stream in group commits and follows the stream. A claim is decided only by
 * reading it back, whatever the append returned. Safe for use by many threads; {@link #commit} and {@link #read} block
 * on the log and are each called by one thread.
 */
public final class ClaimLog {
    /** Time after a claim within which its attempt must be dispatched. */
    public static final Duration DISPATCH_WITHIN = Duration.ofSeconds(10);

    /** Bounds the size of a record in the log. */
    private static final int MAX_BATCH_ENTRIES = 500;

    private static final int MAX_PAGE_RECORDS = 1000;

    private final String entry;
    private final TimeSource time;
    private final LogService log;
    private final Duration keyLifetime;
    private final ClaimTable table = ClaimTable.empty();
    private final List<ClaimEntry> pending = new ArrayList<>();
    private final Map<String, Waiting> waiting = new HashMap<>();
    private long nextOffset;
    private int committing;

    private ClaimLog(String entry, TimeSource time, LogService log, Duration keyLifetime) {
        this.entry = entry;
        this.time = time;
        this.log = log;
        this.keyLifetime = keyLifetime;
    }

    /**
     * Creates a follower that has read nothing yet.
     *
     * @param entry instance id of this entry
     * @param time clock
     * @param log the log service
     * @param keyLifetime lifetime of idempotency keys
     */
    public static ClaimLog of(String entry, TimeSource time, LogService log, Duration keyLifetime) {
        return new ClaimLog(
                Objects.requireNonNull(entry, "entry"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(keyLifetime, "keyLifetime"));
    }

    /** Returns the state of a key as far as the stream has been read; not a permission to run. */
    public synchronized ClaimState state(String keyDigest) {
        return table.state(keyDigest);
    }

    /** Returns the number of outcomes and claims that the log has not accepted yet. */
    public synchronized int unwritten() {
        return pending.size() + committing;
    }

    /**
     * Claims a key with the next group commit.
     *
     * @param keyDigest digest of customer and key
     * @param attemptId new unique id
     * @param requestDigest digest of the call
     * @return the decision; not completed while the stream can't be read, see {@link #abandon}
     */
    public synchronized CompletableFuture<ClaimResult> claim(String keyDigest, String attemptId, String requestDigest) {
        long dispatchBy = time.now().plus(DISPATCH_WITHIN).toEpochMilli();
        ClaimEntry.Claim claim = new ClaimEntry.Claim(keyDigest, attemptId, entry, requestDigest, dispatchBy);
        Waiting waiter = new Waiting(claim, new CompletableFuture<>());
        waiting.put(attemptId, waiter);
        pending.add(claim);
        return waiter.result;
    }

    /** Gives an attempt up that was not and will not be dispatched. */
    public synchronized void abandon(String keyDigest, String attemptId) {
        waiting.remove(attemptId);
        boolean unsent = pending.removeIf(
                item -> item instanceof ClaimEntry.Claim && item.attemptId().equals(attemptId));
        if (!unsent) {
            pending.add(ClaimEntry.Outcome.notRun(keyDigest, attemptId));
        }
    }

    /** Appends an outcome with the next group commit; it is kept until the log has accepted it. */
    public synchronized void outcome(ClaimEntry.Outcome outcome) {
        pending.add(Objects.requireNonNull(outcome, "outcome"));
    }

    /**
     * Appends what is pending as one record.
     *
     * @return whether the log accepted it or nothing was pending
     */
    public boolean commit() {
        List<ClaimEntry> entries = takePending();
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
     * Reads further records and decides the claims among them.
     *
     * @param wait how long the log may wait for a first record
     * @throws MasticcroftException if the log does not answer
     */
    public void read(Duration wait) {
        LogPage page = log.read(Streams.CLAIMS, readPosition(), MAX_PAGE_RECORDS, wait);
        Map<Waiting, ClaimResult> decided = apply(page);
        decided.forEach((waiter, result) -> {
            EventLog.info(
                    Event.CLAIM_DECIDED,
                    "key",
                    waiter.claim.keyDigest(),
                    "attempt",
                    waiter.claim.attemptId(),
                    "result",
                    result.getClass().getSimpleName());
            waiter.result.complete(result);
        });
    }

    private synchronized long readPosition() {
        return nextOffset;
    }

    private synchronized List<ClaimEntry> takePending() {
        List<ClaimEntry> head = pending.subList(0, Math.min(pending.size(), MAX_BATCH_ENTRIES));
        List<ClaimEntry> taken = List.copyOf(head);
        head.clear();
        committing = taken.size();
        return taken;
    }

    private synchronized void onAppended() {
        committing = 0;
    }

    /**
     * Outcomes are appended again: a second copy has no effect. Claims of a lost response stay undecided until they are
     * read back or abandoned; claims of a certain refusal are not in the log.
     */
    private void onAppendFailure(ClaimBatch batch, boolean certainlyRefused, RuntimeException failure) {
        Event event = certainlyRefused ? Event.CLAIMS_REFUSED : Event.CLAIMS_UNCERTAIN;
        EventLog.warn(
                event, "batch", batch.batchId(), "entries", batch.entries().size(), "cause", failure);
        List<Waiting> refused = new ArrayList<>();
        synchronized (this) {
            committing = 0;
            batch.entries().stream()
                    .filter(ClaimEntry.Outcome.class::isInstance)
                    .forEach(pending::add);
            if (certainlyRefused) {
                batch.entries().stream()
                        .filter(ClaimEntry.Claim.class::isInstance)
                        .map(claim -> waiting.remove(claim.attemptId()))
                        .filter(Objects::nonNull)
                        .forEach(refused::add);
            }
        }
        refused.forEach(waiter ->
                waiter.result.complete(new ClaimResult.Unavailable("the log refused the claim of the order")));
    }

    private synchronized Map<Waiting, ClaimResult> apply(LogPage page) {
        List<Waiting> seen = new ArrayList<>();
        for (LogRecord record : page.records()) {
            if (record.offset() >= nextOffset) {
                nextOffset = record.offset() + 1;
                ClaimBatch.fromJson(record.data()).ifPresent(batch -> {
                    table.apply(batch, record.time());
                    batch.entries().stream()
                            .filter(ClaimEntry.Claim.class::isInstance)
                            .map(claim -> waiting.remove(claim.attemptId()))
                            .filter(Objects::nonNull)
                            .forEach(seen::add);
                });
            }
        }
        nextOffset = Math.max(nextOffset, page.earliest());
        table.evictBefore(time.now().minus(IdempotencyKey.claimRetention(keyLifetime)));
        Map<Waiting, ClaimResult> decided = new HashMap<>();
        seen.forEach(waiter -> decided.put(waiter, decide(waiter.claim)));
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

    private record Waiting(ClaimEntry.Claim claim, CompletableFuture<ClaimResult> result) {}
}
