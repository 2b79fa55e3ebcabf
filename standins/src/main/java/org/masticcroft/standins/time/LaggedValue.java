package org.masticcroft.standins.time;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** A value whose changes readers see only after a lag. */
public final class LaggedValue<T> {
    private record Version<T>(long setAtMillis, T value) {}

    private final Deque<Version<T>> versions = new ArrayDeque<>();
    private final LongSupplier lagMillis;
    private final LongSupplier clockMillis;

    private LaggedValue(T initial, LongSupplier lagMillis, LongSupplier clockMillis) {
        this.lagMillis = lagMillis;
        this.clockMillis = clockMillis;
        versions.add(new Version<>(Long.MIN_VALUE, initial));
    }

    /**
     * Creates a value whose initial version is visible immediately and whose later versions are visible after the lag.
     */
    public static <T> LaggedValue<T> of(T initial, LongSupplier lagMillis, LongSupplier clockMillis) {
        return new LaggedValue<>(initial, lagMillis, clockMillis);
    }

    /** Returns the newest version, without lag. */
    public synchronized T newest() {
        return versions.getLast().value();
    }

    /** Returns the version that readers see now. */
    public synchronized T visible() {
        dropSuperseded();
        return versions.getFirst().value();
    }

    /** Sets a new version. */
    public synchronized void set(T value) {
        versions.addLast(new Version<>(clockMillis.getAsLong(), value));
        dropSuperseded();
    }

    private void dropSuperseded() {
        long newestVisibleMillis = clockMillis.getAsLong() - lagMillis.getAsLong();
        while (versions.size() > 1) {
            Version<T> first = versions.removeFirst();
            if (versions.getFirst().setAtMillis() > newestVisibleMillis) {
                versions.addFirst(first);
                return;
            }
        }
    }
}
