package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.stream.Collectors;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * Serves the most urgent rank first, except that a rank below its guaranteed share precedes more urgent ranks. Shares
 * are measured in running tickets, because all running tickets produce tokens at the same rate. Within a rank,
 * customers share by weight. Tickets of an unknown rank are treated as tickets of the least urgent rank.
 */
final class RankedFairQueue implements AdmissionQueue {
    /**
     * Fraction of the first-token target that the expected wait may use. The rest is for the engine and for errors of
     * the estimate.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final RankConfig DEFAULT_RANK = new RankConfig(0, 1, Duration.ofMinutes(1), 1000);

    private final Map<String, RankQueue> ranks = new HashMap<>();
    private final List<RankQueue> byUrgency;
    private final Map<String, WaitingTicket> waiting = new HashMap<>();
    private final Map<String, RankQueue> running = new HashMap<>();
    private long sequence;

    private RankedFairQueue(SortedMap<String, RankConfig> configs) {
        configs.forEach((name, config) -> ranks.put(name, RankQueue.of(config)));
        byUrgency = ranks.isEmpty()
                ? List.of(RankQueue.of(DEFAULT_RANK))
                : ranks.entrySet().stream()
                        .sorted(Comparator.comparingInt((Map.Entry<String, RankQueue> entry) ->
                                        entry.getValue().config().order())
                                .thenComparing(Map.Entry::getKey))
                        .map(Map.Entry::getValue)
                        .collect(Collectors.toUnmodifiableList());
    }

    static RankedFairQueue of(SortedMap<String, RankConfig> ranks) {
        return new RankedFairQueue(ranks);
    }

    @Override
    public int waiting() {
        return waiting.size();
    }

    @Override
    public Admission offer(Ticket ticket, long nowNanos) {
        RankQueue rank = rankOf(ticket);
        Duration target = rank.config().firstToken();
        Duration wait = rank.expectedWait(ticket, nowNanos);
        if (target != null && wait.toNanos() > target.toNanos() * MAX_WAIT_FRACTION) {
            return refuse(ErrorCode.TARGET_UNREACHABLE, wait);
        }
        if (rank.isFullFor(ticket)) {
            return refuse(ErrorCode.QUEUE_FULL, wait);
        }
        if (!rank.isFull()) {
            add(rank, ticket, nowNanos);
            return Admission.Queued.withoutDisplacement();
        }
        Optional<Ticket> displaced = rank.displaceFor(ticket);
        if (displaced.isEmpty()) {
            return refuse(ErrorCode.QUEUE_FULL, wait);
        }
        waiting.remove(displaced.get().requestId());
        add(rank, ticket, nowNanos);
        return new Admission.Queued(List.of(displaced.get()));
    }

    @Override
    public Admission requeue(Ticket ticket, long nowNanos) {
        RankQueue rank = rankOf(ticket);
        CustomerQueue.Position position = new CustomerQueue.Position(ticket.arrivalNanos(), sequence++);
        rank.requeue(position, ticket, nowNanos);
        waiting.put(ticket.requestId(), new WaitingTicket(rank, position, ticket));
        return Admission.Queued.withoutDisplacement();
    }

    @Override
    public Optional<Ticket> poll(long nowNanos) {
        RankQueue mostUrgent = null;
        RankQueue mostBelowShare = null;
        for (RankQueue rank : byUrgency) {
            if (rank.waiting() == 0) {
                continue;
            }
            if (mostUrgent == null) {
                mostUrgent = rank;
            } else if (rank.shareDeficit(running.size()) > 0
                    && (mostBelowShare == null || hasLargerDeficit(rank, mostBelowShare))) {
                mostBelowShare = rank;
            }
        }
        if (mostUrgent == null) {
            return Optional.empty();
        }
        return Optional.of(pollNext(mostBelowShare == null ? mostUrgent : mostBelowShare, nowNanos));
    }

    @Override
    public Optional<Ticket> pollRequest(String requestId, long nowNanos) {
        WaitingTicket waitingTicket = waiting.remove(requestId);
        if (waitingTicket == null) {
            return Optional.empty();
        }
        waitingTicket.rank().start(waitingTicket.position(), waitingTicket.ticket(), nowNanos);
        running.put(requestId, waitingTicket.rank());
        return Optional.of(waitingTicket.ticket());
    }

    @Override
    public boolean remove(String requestId) {
        WaitingTicket waitingTicket = waiting.remove(requestId);
        if (waitingTicket == null) {
            return false;
        }
        waitingTicket.rank().remove(waitingTicket.position(), waitingTicket.ticket());
        return true;
    }

    @Override
    public void finish(Ticket ticket, int actualTokens, long nowNanos) {
        RankQueue rank = running.remove(ticket.requestId());
        if (rank != null) {
            rank.finish(ticket, actualTokens);
        }
    }

    private RankQueue rankOf(Ticket ticket) {
        RankQueue rank = ranks.get(ticket.rank());
        return rank == null ? byUrgency.get(byUrgency.size() - 1) : rank;
    }

    private void add(RankQueue rank, Ticket ticket, long nowNanos) {
        CustomerQueue.Position position = new CustomerQueue.Position(ticket.arrivalNanos(), sequence++);
        rank.add(position, ticket, nowNanos);
        waiting.put(ticket.requestId(), new WaitingTicket(rank, position, ticket));
    }

    private Ticket pollNext(RankQueue rank, long nowNanos) {
        Ticket ticket = rank.poll(nowNanos);
        waiting.remove(ticket.requestId());
        running.put(ticket.requestId(), rank);
        return ticket;
    }

    private boolean hasLargerDeficit(RankQueue rank, RankQueue other) {
        return rank.shareDeficit(running.size()) > other.shareDeficit(running.size());
    }

    private static Admission refuse(ErrorCode code, Duration wait) {
        return new Admission.Refused(code, wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait);
    }

    private record WaitingTicket(RankQueue rank, CustomerQueue.Position position, Ticket ticket) {}
}
