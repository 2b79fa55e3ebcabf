package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;

/** Baseline policy: one bounded queue in order of arrival, for all ranks and customers. */
public final class FifoAdmission implements AdmissionPlugin {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Creates the plug-in; used by the service loader. */
    public FifoAdmission() {}

    @Override
    public String name() {
        return "fifo";
    }

    @Override
    public AdmissionQueue create(SortedMap<String, RankConfig> ranks) {
        return new FifoQueue(
                ranks.values().stream().mapToInt(RankConfig::queueLimit).sum());
    }

    private static final class FifoQueue implements AdmissionQueue {
        private final int limit;
        private final Map<String, Ticket> tickets = new LinkedHashMap<>();

        private FifoQueue(int limit) {
            this.limit = limit;
        }

        @Override
        public Admission offer(Ticket ticket, long nowNanos) {
            if (tickets.size() >= limit) {
                return new Admission.Refused(ErrorCode.QUEUE_FULL, RETRY_AFTER);
            }
            return requeue(ticket, nowNanos);
        }

        @Override
        public Admission requeue(Ticket ticket, long nowNanos) {
            tickets.put(ticket.requestId(), ticket);
            return Admission.Queued.withoutDisplacement();
        }

        @Override
        public Optional<Ticket> poll(long nowNanos) {
            return tickets.keySet().stream().findFirst().map(tickets::remove);
        }

        @Override
        public boolean remove(String requestId) {
            return tickets.remove(requestId) != null;
        }

        @Override
        public void finish(Ticket ticket, int actualTokens, long nowNanos) {
            // The order of arrival does not depend on the cost.
        }

        @Override
        public int waiting() {
            return tickets.size();
        }
    }
}
