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
 * Serves the most urgent rank first, except that a rank below its guaranteed share goes before more urgent ones. The
 * share is that of the running tickets, which all produce tokens at the same pace. Within a rank, customers share by
 * weight. Tickets of an unknown rank count as the least urgent one.
 */
final class RankedFairQueue implements AdmissionQueue {
    /** Part of the first-token target that the expected wait may use; the rest is for the engine and for errors. */
    private static final double WAIT_PART_OF_TARGET = 0.5;

    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final RankConfig ONLY_RANK = new RankConfig(0, 1, Duration.ofMinutes(1), 1000);

    private final Map<String, RankQueue> ranks = new HashMap<>();
    private final List<RankQueue> byUrgency;
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final Map<String, RankQueue> running = new HashMap<>();
    private long sequence;

    private RankedFairQueue(SortedMap<String, RankConfig> configs) {
        configs.forEach((name, config) -> ranks.put(name, RankQueue.of(config)));
        byUrgency = ranks.isEmpty()
                ? List.of(RankQueue.of(ONLY_RANK))
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
        if (target != null && wait.toNanos() > target.toNanos() * WAIT_PART_OF_TARGET) {
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
        CustomerQueue.Place place = new CustomerQueue.Place(ticket.arrivalNanos(), sequence++);
        rank.addBack(place, ticket, nowNanos);
        waiting.put(ticket.requestId(), new Waiting(rank, place, ticket));
        return Admission.Queued.withoutDisplacement();
    }

    @Override
    public Optional<Ticket> poll(long nowNanos) {
        RankQueue urgent = null;
        RankQueue belowShare = null;
        for (RankQueue rank : byUrgency) {
            if (rank.waiting() == 0) {
                continue;
            }
            if (urgent == null) {
                urgent = rank;
            } else if (rank.lacking(running.size()) > 0 && (belowShare == null || lacksMore(rank, belowShare))) {
                belowShare = rank;
            }
        }
        if (urgent == null) {
            return Optional.empty();
        }
        return Optional.of(takeNext(belowShare == null ? urgent : belowShare, nowNanos));
    }

    @Override
    public Optional<Ticket> pollRequest(String requestId, long nowNanos) {
        Waiting place = waiting.remove(requestId);
        if (place == null) {
            return Optional.empty();
        }
        place.rank().take(place.place(), place.ticket(), nowNanos);
        running.put(requestId, place.rank());
        return Optional.of(place.ticket());
    }

    @Override
    public boolean remove(String requestId) {
        Waiting place = waiting.remove(requestId);
        if (place == null) {
            return false;
        }
        place.rank().remove(place.place(), place.ticket());
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
        CustomerQueue.Place place = new CustomerQueue.Place(ticket.arrivalNanos(), sequence++);
        rank.add(place, ticket, nowNanos);
        waiting.put(ticket.requestId(), new Waiting(rank, place, ticket));
    }

    private Ticket takeNext(RankQueue rank, long nowNanos) {
        Ticket ticket = rank.take(nowNanos);
        waiting.remove(ticket.requestId());
        running.put(ticket.requestId(), rank);
        return ticket;
    }

    private boolean lacksMore(RankQueue rank, RankQueue other) {
        return rank.lacking(running.size()) > other.lacking(running.size());
    }

    private static Admission refuse(ErrorCode code, Duration wait) {
        return new Admission.Refused(code, wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait);
    }

    private record Waiting(RankQueue rank, CustomerQueue.Place place, Ticket ticket) {}
}
