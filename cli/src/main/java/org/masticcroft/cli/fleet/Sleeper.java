package org.masticcroft.cli.fleet;

import java.time.Duration;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** Waits between two requests. */
@FunctionalInterface
public interface Sleeper {
    /**
     * Waits for the duration.
     *
     * @throws MasticcroftException with {@code CANCELLED} if the thread is interrupted
     */
    void sleep(Duration duration);

    /** Returns a sleeper that blocks the calling thread. */
    static Sleeper system() {
        return duration -> {
            try {
                Thread.sleep(duration.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw MasticcroftException.of(
                        ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "interrupted while waiting", e);
            }
        };
    }
}
