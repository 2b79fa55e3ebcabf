package org.masticcroft.sidecar.lease;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.writer.AccountWriter;
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
 * Acquires and renews the lease of this process on its upstream. The lease is lost for good when a newer lease record
 * of another incarnation appears in the log or may have expired unread, or when the engine rejects its fencing token.
 */
public final class LeaseHolder {
    private static final int PAGE_RECORDS = 500;
    /** Renewing after a quarter of the retention time leaves three more attempts before the record expires. */
    private static final int RENEWALS_PER_RETENTION = 4;

    private final LogService log;
    private final TimeSource time;
    private final AccountWriter account;
    private final LeaseRecord ownRecord;
    private final Duration renewalInterval;

    /** Incarnations with older lease records. A delayed append by one of them does not supersede the lease. */
    private final Set<String> predecessors = new HashSet<>();

    private volatile State state = State.NONE;
    private volatile long token = -1;
    private long cursor;
    private long lastAppendNanos;
    /** Whether an append has failed although the log may have stored its record. */
    private boolean appendInDoubt;

    private LeaseHolder(
            LogService log, TimeSource time, AccountWriter account, LeaseRecord ownRecord, Duration renewalInterval) {
        this.log = log;
        this.time = time;
        this.account = account;
        this.ownRecord = ownRecord;
        this.renewalInterval = renewalInterval;
    }

    /**
     * Creates a holder that has not acquired the lease yet.
     *
     * @param ownRecord original lease record of this process
     * @param retention time for which the log keeps records
     */
    public static LeaseHolder of(
            LogService log, TimeSource time, AccountWriter account, LeaseRecord ownRecord, Duration retention) {
        return new LeaseHolder(
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(account, "account"),
                Objects.requireNonNull(ownRecord, "ownRecord"),
                retention.dividedBy(RENEWALS_PER_RETENTION));
    }

    /** Returns the fencing token if the lease was held when the log was last read. Does not read the log. */
    public OptionalLong token() {
        return state == State.HELD ? OptionalLong.of(token) : OptionalLong.empty();
    }

    /** Returns whether a newer lease exists. Once true, the result stays true. */
    public boolean superseded() {
        return state == State.SUPERSEDED;
    }

    /**
     * Acquires the lease if it was never held, or appends a copy of its record before the record expires. If the log is
     * unavailable, nothing changes and a later call tries again.
     */
    public synchronized void acquireOrRenew() {
        try {
            if (state == State.NONE) {
                acquire();
            } else if (state == State.HELD && time.since(lastAppendNanos).compareTo(renewalInterval) >= 0) {
                renew();
            }
        } catch (MasticcroftException e) {
            EventLog.warn(Event.LEASE_UNAVAILABLE, "upstream", ownRecord.upstream(), "reason", e.getMessage());
        }
    }

    /**
     * Reads the lease stream to its end and returns the fencing token; empty if the lease is not held or the log is
     * unavailable, so that no command may be given to the engine.
     */
    public synchronized OptionalLong confirmToken() {
        if (state != State.HELD) {
            return OptionalLong.empty();
        }
        try {
            readToTail();
        } catch (MasticcroftException e) {
            EventLog.warn(Event.LEASE_UNAVAILABLE, "upstream", ownRecord.upstream(), "reason", e.getMessage());
            return OptionalLong.empty();
        }
        return token();
    }

    /** Marks the lease as superseded after the engine has rejected its fencing token in favour of a higher one. */
    public synchronized void onFenceRejected() {
        supersede("fence-rejected", "unknown");
    }

    private void acquire() {
        readToTail();
        if (state != State.NONE) {
            return;
        }
        lastAppendNanos = time.nanoTime();
        try {
            setHeld(log.append(Streams.LEASES, ownRecord.bytes()));
        } catch (MasticcroftException e) {
            appendInDoubt |= e.verdict() != Verdict.NOT_RUN;
            throw e;
        }
    }

    private void renew() {
        readToTail();
        if (state == State.HELD) {
            log.append(Streams.LEASES, ownRecord.copyWith(token).bytes());
            lastAppendNanos = time.nanoTime();
        }
    }

    private void readToTail() {
        LogPage page;
        do {
            page = log.read(Streams.LEASES, cursor, PAGE_RECORDS, Duration.ZERO);
            if (state == State.HELD && page.earliest() > cursor) {
                supersede("retention-passed", "unknown");
                return;
            }
            page.records().forEach(this::applyRecord);
            cursor = page.records().isEmpty() ? Math.max(cursor, page.next()) : cursor;
        } while (cursor < page.next());
    }

    private void applyRecord(LogRecord logRecord) {
        cursor = Math.max(cursor, logRecord.offset() + 1);
        LeaseRecord.parse(logRecord.data())
                .filter(lease -> lease.upstream().equals(ownRecord.upstream()))
                .ifPresent(lease -> applyLease(lease, lease.tokenAt(logRecord.offset())));
    }

    private void applyLease(LeaseRecord lease, long leaseToken) {
        if (lease.incarnation().equals(ownRecord.incarnation())) {
            if (appendInDoubt || state == State.HELD) {
                setHeld(leaseToken);
            }
        } else if (state == State.HELD && leaseToken > token && !predecessors.contains(lease.incarnation())) {
            supersede("newer-lease", lease.instance());
        } else if (state != State.SUPERSEDED) {
            predecessors.add(lease.incarnation());
        }
    }

    private void setHeld(long newToken) {
        if (state == State.SUPERSEDED || (state == State.HELD && newToken <= token)) {
            return;
        }
        token = newToken;
        state = State.HELD;
        appendInDoubt = false;
        EventLog.info(Event.LEASE_ACQUIRED, "upstream", ownRecord.upstream(), "token", newToken);
        writeChangeRecord("lease-acquired", "token", String.valueOf(newToken));
    }

    private void supersede(String reason, String newHolder) {
        if (state != State.SUPERSEDED) {
            state = State.SUPERSEDED;
            EventLog.warn(
                    Event.LEASE_SUPERSEDED,
                    "upstream",
                    ownRecord.upstream(),
                    "token",
                    token,
                    "by",
                    newHolder,
                    "reason",
                    reason);
            writeChangeRecord("lease-superseded", "reason", reason);
        }
    }

    private void writeChangeRecord(String kind, String name, String value) {
        SortedMap<String, String> details = new TreeMap<>();
        details.put("upstream", ownRecord.upstream());
        details.put("instance", ownRecord.instance());
        details.put("incarnation", ownRecord.incarnation());
        details.put(name, value);
        account.write(new ChangeRecord(time.now(), kind, details));
    }

    private enum State {
        NONE,
        HELD,
        SUPERSEDED
    }
}
