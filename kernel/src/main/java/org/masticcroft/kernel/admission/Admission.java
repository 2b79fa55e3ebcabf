package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;

/** Result of offering a ticket to an admission queue. */
public sealed interface Admission {
    /**
     * The ticket was added to the queue.
     *
     * @param displaced waiting tickets that were removed to make space for this one; the caller must refuse them with
     *     the verdict {@code NOT_RUN}
     */
    record Queued(List<Ticket> displaced) implements Admission {
        public Queued {
            displaced = List.copyOf(displaced);
        }

        /** Returns the result for a ticket that displaced no other ticket. */
        public static Queued withoutDisplacement() {
            return new Queued(List.of());
        }
    }

    /**
     * The ticket was not added to the queue; its request has not run.
     *
     * @param code reason for the refusal
     * @param retryAfter time after which a new offer is likely to be accepted
     */
    record Refused(ErrorCode code, Duration retryAfter) implements Admission {
        public Refused {
            Objects.requireNonNull(code, "code");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
