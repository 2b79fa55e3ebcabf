package org.masticcroft.gateway.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.WeakHashMap;
import java.util.function.Function;
import org.masticcroft.gateway.config.ColdLimits;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Keeps the requests of this entry to a cold upstream within its share of what the upstream tolerates. The sidecars
 * state how many entries there are; see {@code docs/design/cold-upstreams.md}.
 */
public final class ColdUpstreams implements PlacementRule {
    private final UpstreamTable table;
    private final Function<String, ColdLimits> limits;
    private final double over;
    private final double slack;
    private final DecisionLog log;

    /** Sends by upstream; a restarted upstream has a new state and has received nothing yet. */
    private final Map<Upstream, Sends> sends = new WeakHashMap<>();

    private long sentWhileCold;

    private ColdUpstreams(
            UpstreamTable table, Function<String, ColdLimits> limits, double over, double slack, DecisionLog log) {
        this.table = Objects.requireNonNull(table, "table");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.over = over;
        this.slack = slack;
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Creates a rule.
     *
     * @param table listed upstreams
     * @param limits limits by service
     * @param over ratio of the requests that a cold upstream may receive in a second to those that it tolerates
     * @param slack requests that it may receive in a second beyond that
     * @param log decision log
     */
    public static ColdUpstreams of(
            UpstreamTable table, Function<String, ColdLimits> limits, double over, double slack, DecisionLog log) {
        return new ColdUpstreams(table, limits, over, slack, log);
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        ColdLimits service = limits.apply(upstream.listing().service());
        if (!service.limited()) {
            return PlacementDecision.ALLOWED;
        }
        Sends sent = sends.computeIfAbsent(upstream, key -> new Sends());
        // A new process under the same id takes requests before the list names it, longer if the store is unreachable.
        upstream.restartNanos()
                .ifPresent(nanos ->
                        upstream.recordCold(service.time().minusNanos(nowNanos - nanos), "restarted", nowNanos));
        if (upstream.cold(nowNanos) != sent.cold) {
            sent.cold = !sent.cold;
            logState(upstream, sent.cold, nowNanos);
        }
        if (!sent.cold) {
            return PlacementDecision.ALLOWED;
        }
        if (request.hedge()) {
            // A cold upstream is slow, and the requests that it tolerates are for those that have no upstream yet.
            return PlacementDecision.COLD_RATE_REACHED;
        }
        OptionalInt stated = table.statedEntries(nowNanos);
        if (stated.isEmpty() && othersServe(request, upstream, nowNanos)) {
            return PlacementDecision.COLD_RATE_REACHED;
        }
        ColdShare share = ColdShare.of(service, over, slack);
        // Without a stated number, as many entries are assumed as the bound allows with one request each.
        int entries = stated.orElse(Math.max(1, share.maxEntries()));
        return sent.allow(share, entries, nowNanos) ? PlacementDecision.ALLOWED : PlacementDecision.COLD_RATE_REACHED;
    }

    @Override
    public void onSend(QueuedRequest request, Upstream upstream, long nowNanos) {
        if (limits.apply(upstream.listing().service()).limited()) {
            // Requests to an upstream that is not cold count, too, if it turns cold within the window.
            Sends sent = sends.computeIfAbsent(upstream, key -> new Sends());
            sent.add(nowNanos);
            if (sent.cold) {
                sentWhileCold++;
            }
        }
    }

    /** Exposes the number of cold upstreams, the stated number of entries, and the requests sent to cold upstreams. */
    public void expose(ProcessMetrics metrics, TimeSource time) {
        metrics.gauge(Series.of("masticcroft_upstreams_cold"), () -> cold(time.nanoTime()));
        metrics.gauge(
                Series.of("masticcroft_entries_stated"),
                () -> table.statedEntries(time.nanoTime()).orElse(0));
        metrics.gauge(Series.of("masticcroft_requests_to_cold_upstreams_total"), () -> sentWhileCold);
    }

    private long cold(long nowNanos) {
        return table.listed().stream()
                .filter(upstream -> limits.apply(upstream.listing().service()).limited() && upstream.cold(nowNanos))
                .count();
    }

    private boolean othersServe(QueuedRequest request, Upstream upstream, long nowNanos) {
        return table.ofService(upstream.listing().service()).stream()
                .anyMatch(other -> !other.cold(nowNanos)
                        && other.usable(nowNanos)
                        && !other.loading()
                        && !request.triedUpstreams().contains(other.id()));
    }

    private void logState(Upstream upstream, boolean cold, long nowNanos) {
        if (cold) {
            OptionalInt stated = table.statedEntries(nowNanos);
            log.write(
                    Event.UPSTREAM_COLD,
                    "upstream",
                    upstream.id(),
                    "cause",
                    upstream.coldCause(),
                    "remaining_ms",
                    upstream.coldRemaining(nowNanos).toMillis(),
                    "entries",
                    stated.isPresent() ? stated.getAsInt() : "unknown");
        } else {
            log.write(Event.UPSTREAM_WARM, "upstream", upstream.id());
        }
    }

    /** Times at which this entry sent requests to an upstream within the last window. */
    private static final class Sends {
        private final Deque<Long> nanos = new ArrayDeque<>();
        private boolean cold;
        private OptionalLong lastNanos = OptionalLong.empty();

        void add(long nowNanos) {
            removeOld(nowNanos);
            nanos.addLast(nowNanos);
            lastNanos = OptionalLong.of(nowNanos);
        }

        boolean allow(ColdShare share, int entries, long nowNanos) {
            removeOld(nowNanos);
            // Requests that were sent before the upstream turned cold have had no spacing, so they are counted.
            return nanos.size() < share.maxInWindow(entries)
                    && (lastNanos.isEmpty() || nowNanos - lastNanos.getAsLong() >= share.spacingNanos(entries));
        }

        private void removeOld(long nowNanos) {
            while (!nanos.isEmpty() && nowNanos - nanos.getFirst() >= ColdShare.WINDOW.toNanos()) {
                nanos.removeFirst();
            }
        }
    }
}
