package org.masticcroft.kernel.time;

import java.time.Instant;

/** The clocks of this machine. */
enum SystemTimeSource implements TimeSource {
    INSTANCE;

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
