package org.masticcroft.entry.policy;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.admission.Admission;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;

/** Fallback admission: first in, first out, with a bounded queue for each rank. */
final class FirstInFirstOutAdmission implements AdmissionPlugin {
    private static final int DEFAULT_QUEUE_LIMIT = 1000;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public String name() {
        return "entry-first-in-first-out";
    }

    @Override
    public AdmissionQueue create(SortedMap<String, RankConfig> ranks) {
        return new Queue(ranks);
    }

    private static final class Queue implements AdmissionQueue {
        private final SortedMap<String, RankConfig> ranks;
        private final Map<String, Ticket> waiting = new LinkedHashMap<>();

        private Queue(SortedMap<String, RankConfig> ranks) {
            this.ranks = ranks;
        }

        @Override
        public Admission offer(Ticket ticket, long nowNanos) {
            RankConfig rank = ranks.get(ticket.rank());
            int limit = rank == null ? DEFAULT_QUEUE_LIMIT : rank.queueLimit();
            long sameRank = waiting.values().stream()
                    .filter(other -> other.rank().equals(ticket.rank()))
                    .count();
            if (sameRank >= limit) {
                return new Admission.Refused(ErrorCode.QUEUE_FULL, RETRY_AFTER);
            }
            waiting.put(ticket.requestId(), ticket);
            return Admission.Queued.withoutDisplacement();
        }

        @Override
        public Optional<Ticket> poll(long nowNanos) {
            Optional<Ticket> next = waiting.values().stream().findFirst();
            next.ifPresent(ticket -> waiting.remove(ticket.requestId()));
            return next;
        }

        @Override
        public boolean remove(String requestId) {
            return waiting.remove(requestId) != null;
        }

        @Override
        public void finish(Ticket ticket, int actualTokens, long nowNanos) {
            // First in, first out does not depend on cost.
        }

        @Override
        public int waiting() {
            return waiting.size();
        }
    }
}
