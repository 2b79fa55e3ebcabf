package org.masticcroft.entry.task;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/** Makes a generator safe for use by many threads; all other methods derive from {@link #nextLong}. */
public final class SynchronizedRandom implements UniformRandomProvider {
    private final UniformRandomProvider delegate;

    private SynchronizedRandom(UniformRandomProvider delegate) {
        this.delegate = delegate;
    }

    /** Wraps a generator that no one else uses. */
    public static SynchronizedRandom of(UniformRandomProvider delegate) {
        return new SynchronizedRandom(Objects.requireNonNull(delegate, "delegate"));
    }

    @Override
    public synchronized long nextLong() {
        return delegate.nextLong();
    }
}
