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

/** Holds the lease on one upstream, as long as no newer lease record exists. */
public final class LeaseHolder {
    private static final int PAGE_RECORDS = 500;
    /** A copy at a quarter of the retention leaves three more tries before the original expires. */
    private static final int RENEWALS_PER_RETENTION = 4;

    private final LogService log;
    private final TimeSource time;
    private final AccountWriter account;
    private final LeaseRecord own;
    private final Duration renewalInterval;

    /** Incarnations that held the lease earlier. A delayed append of one of them does not take the lease back. */
    private final Set<String> predecessors = new HashSet<>();

    private volatile State state = State.NONE;
    private volatile long token = -1;
    private long cursor;
    private long lastAppendNanos;
    private boolean appendInDoubt;

    private LeaseHolder(
            LogService log, TimeSource time, AccountWriter account, LeaseRecord own, Duration renewalInterval) {
        this.log = log;
        this.time = time;
        this.account = account;
        this.own = own;
        this.renewalInterval = renewalInterval;
    }

    /**
     * Creates a holder without a lease.
     *
     * @param own the original lease record of this process
     * @param retention time for which the log keeps records
     */
    public static LeaseHolder of(
            LogService log, TimeSource time, AccountWriter account, LeaseRecord own, Duration retention) {
        return new LeaseHolder(
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(account, "account"),
                Objects.requireNonNull(own, "own"),
                retention.dividedBy(RENEWALS_PER_RETENTION));
    }

    /** Returns the fencing token while the lease is held, as far as the last read of the log shows. */
    public OptionalLong token() {
        return state == State.HELD ? OptionalLong.of(token) : OptionalLong.empty();
    }

    /** Returns whether a newer lease exists. This never changes back. */
    public boolean superseded() {
        return state == State.SUPERSEDED;
    }

    /** Acquires the lease if there is none yet, and copies its record before it expires. Does nothing in an outage. */
    public synchronized void acquireOrRenew() {
        try {
            if (state == State.NONE) {
                acquire();
            } else if (state == State.HELD && time.since(lastAppendNanos).compareTo(renewalInterval) >= 0) {
                renew();
            }
        } catch (MasticcroftException e) {
            EventLog.warn(Event.LEASE_UNAVAILABLE, "upstream", own.upstream(), "reason", e.getMessage());
        }
    }

    /** Reads the tail of the stream and returns the fencing token; empty if no command may be given now. */
    public synchronized OptionalLong confirmToken() {
        if (state != State.HELD) {
            return OptionalLong.empty();
        }
        try {
            readToTail();
        } catch (MasticcroftException e) {
            EventLog.warn(Event.LEASE_UNAVAILABLE, "upstream", own.upstream(), "reason", e.getMessage());
            return OptionalLong.empty();
        }
        return token();
    }

    /** Tells the holder that the engine has seen a higher token; it gives no further commands. */
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
            held(log.append(Streams.LEASES, own.bytes()));
        } catch (MasticcroftException e) {
            appendInDoubt |= e.verdict() != Verdict.NOT_RUN;
            throw e;
        }
    }

    private void renew() {
        readToTail();
        if (state == State.HELD) {
            log.append(Streams.LEASES, own.copyWith(token).bytes());
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
            page.records().forEach(this::observe);
            cursor = page.records().isEmpty() ? Math.max(cursor, page.next()) : cursor;
        } while (cursor < page.next());
    }

    private void observe(LogRecord entry) {
        cursor = Math.max(cursor, entry.offset() + 1);
        LeaseRecord.parse(entry.data())
                .filter(lease -> lease.upstream().equals(own.upstream()))
                .ifPresent(lease -> observe(lease, lease.tokenAt(entry.offset())));
    }

    private void observe(LeaseRecord lease, long leaseToken) {
        if (lease.incarnation().equals(own.incarnation())) {
            if (appendInDoubt || state == State.HELD) {
                held(leaseToken);
            }
        } else if (state == State.HELD && leaseToken > token && !predecessors.contains(lease.incarnation())) {
            supersede("newer-lease", lease.instance());
        } else if (state != State.SUPERSEDED) {
            predecessors.add(lease.incarnation());
        }
    }

    private void held(long newToken) {
        if (state == State.SUPERSEDED || (state == State.HELD && newToken <= token)) {
            return;
        }
        token = newToken;
        state = State.HELD;
        appendInDoubt = false;
        EventLog.info(Event.LEASE_ACQUIRED, "upstream", own.upstream(), "token", newToken);
        record("lease-acquired", "token", String.valueOf(newToken));
    }

    private void supersede(String reason, String by) {
        if (state != State.SUPERSEDED) {
            state = State.SUPERSEDED;
            EventLog.warn(
                    Event.LEASE_SUPERSEDED, "upstream", own.upstream(), "token", token, "by", by, "reason", reason);
            record("lease-superseded", "reason", reason);
        }
    }

    private void record(String kind, String name, String value) {
        SortedMap<String, String> details = new TreeMap<>();
        details.put("upstream", own.upstream());
        details.put("instance", own.instance());
        details.put("incarnation", own.incarnation());
        details.put(name, value);
        account.write(new ChangeRecord(time.now(), kind, details));
    }

    private enum State {
        NONE,
        HELD,
        SUPERSEDED
    }
}
