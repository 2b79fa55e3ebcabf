package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;

/** Result of offering a ticket to an admission queue. */
public sealed interface Admission {
    /**
     * The ticket waits in the queue.
     *
     * @param displaced waiting tickets that lost their place to this one and must be refused as not run
     */
    record Queued(List<Ticket> displaced) implements Admission {
        public Queued {
            displaced = List.copyOf(displaced);
        }

        /** Returns the result for a ticket that displaced no other. */
        public static Queued withoutDisplacement() {
            return new Queued(List.of());
        }
    }

    /**
     * The ticket was refused; the request has not run.
     *
     * @param code the reason
     * @param retryAfter time after which another try is likely to be queued
     */
    record Refused(ErrorCode code, Duration retryAfter) implements Admission {
        public Refused {
            Objects.requireNonNull(code, "code");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
