package org.masticcroft.standins.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Faults of the calls to an engine: slow read-backs, single calls that are handled late, and an engine that stands
 * still. A call that is handled late takes effect then, also if its caller has given it up.
 */
public final class CallFaults {
    /** Longest time for which a call is held that is not released. */
    private static final Duration MAX_HOLD = Duration.ofSeconds(30);

    private final Map<Kind, Deque<Duration>> lateCalls = new EnumMap<>(Kind.class);
    private final Map<Kind, Deque<CountDownLatch>> heldCalls = new EnumMap<>(Kind.class);
    private final Lock bandwidth = new ReentrantLock();
    private Duration readTime = Duration.ZERO;
    private boolean readsShareBandwidth;
    private long stillUntilNanos = System.nanoTime();

    CallFaults() {
        for (Kind kind : Kind.values()) {
            lateCalls.put(kind, new ArrayDeque<>());
            heldCalls.put(kind, new ArrayDeque<>());
        }
    }

    /** Makes each read-back take this time; several may be in progress. */
    public synchronized void slowReads(Duration time) {
        readTime = time;
        readsShareBandwidth = false;
    }

    /** Makes each read-back take this time, one after another, as over a link that is in use. */
    public synchronized void slowSharedReads(Duration time) {
        readTime = time;
        readsShareBandwidth = true;
    }

    /** Handles the next call of a kind that has no such delay yet late. */
    public synchronized void delayNext(Kind kind, Duration delay) {
        lateCalls.get(kind).addLast(delay);
    }

    /** Holds the next call of a kind; returns the action that lets the engine handle it. */
    public synchronized Runnable holdNext(Kind kind) {
        CountDownLatch released = new CountDownLatch(1);
        heldCalls.get(kind).addLast(released);
        return released::countDown;
    }

    /** Handles no call until this time is over. */
    public synchronized void standStill(Duration time) {
        stillUntilNanos = System.nanoTime() + time.toNanos();
    }

    /** Returns whether calls are not handled at present. */
    public synchronized boolean standsStill() {
        return stillUntilNanos - System.nanoTime() > 0;
    }

    /** Ends all faults, also those of calls that are waiting. */
    public synchronized void clear() {
        readTime = Duration.ZERO;
        stillUntilNanos = System.nanoTime();
        lateCalls.values().forEach(Deque::clear);
        heldCalls.values().forEach(calls -> {
            calls.forEach(CountDownLatch::countDown);
            calls.clear();
        });
    }

    /** Waits as the faults require before a call is handled. */
    void await(Kind kind) throws InterruptedException {
        CountDownLatch held;
        Duration late;
        Duration ownTime;
        boolean shared;
        synchronized (this) {
            held = heldCalls.get(kind).pollFirst();
            Duration next = lateCalls.get(kind).pollFirst();
            late = next == null ? Duration.ZERO : next;
            ownTime = kind == Kind.READ_BACK ? readTime : Duration.ZERO;
            shared = readsShareBandwidth;
        }
        if (shared && !ownTime.isZero()) {
            bandwidth.lockInterruptibly();
            try {
                sleep(ownTime);
            } finally {
                bandwidth.unlock();
            }
        } else {
            sleep(ownTime);
        }
        sleep(late);
        if (held != null) {
            held.await(MAX_HOLD.toMillis(), TimeUnit.MILLISECONDS);
        }
        awaitMotion();
    }

    private void awaitMotion() throws InterruptedException {
        Duration still;
        do {
            synchronized (this) {
                still = Duration.ofNanos(stillUntilNanos - System.nanoTime());
            }
            sleep(still);
        } while (!still.isNegative());
    }

    private static void sleep(Duration time) throws InterruptedException {
        if (!time.isZero() && !time.isNegative()) {
            Thread.sleep(time.toMillis(), time.toNanosPart() % 1_000_000);
        }
    }

    /** Kind of a call to the engine. */
    public enum Kind {
        REPORT,
        STAGE,
        READ_BACK,
        ORDER,
        REQUEST
    }
}
