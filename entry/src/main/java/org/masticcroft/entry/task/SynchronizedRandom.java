package org.masticcroft.entry.task;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/** Thread-safe random generator; all other methods are based on {@link #nextLong}. */
public final class SynchronizedRandom implements UniformRandomProvider {
    private final UniformRandomProvider delegate;

    private SynchronizedRandom(UniformRandomProvider delegate) {
        this.delegate = delegate;
    }

    /** Wraps a generator, which must not be used elsewhere. */
    public static SynchronizedRandom of(UniformRandomProvider delegate) {
        return new SynchronizedRandom(Objects.requireNonNull(delegate, "delegate"));
    }

    @Override
    public synchronized long nextLong() {
        return delegate.nextLong();
    }
}
