package org.masticcroft.gateway.dispatch;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.masticcroft.gateway.load.LoadReport;

/**
 * Shares the free slots of an engine between the entries. All entries see the same load reports, so without shares each
 * of them fills the free slots until the next report, and the surplus waits in the queue of the engine, where it can be
 * neither reordered nor refused. Between two reports, an entry sends what its share of the free slots and its own
 * completed requests allow. Applies only where there are more entries than slots, since a smaller number of entries
 * exceeds the slots by little.
 */
public final class SlotShare implements PlacementRule {
    /** Ratio of the sum of all shares to the free slots; some entries have no request for the share that they get. */
    private static final double OVERSUBSCRIPTION = 1.5;

    /** Share of its completed requests that an entry replaces at once; the rest is shared by the next report. */
    private static final double REUSED_SHARE = 0.75;

    /** Additional requests of the first route rank that may queue in a full engine, where they overtake others. */
    private static final int FIRST_RANK_QUEUE_LIMIT = 2;

    private final int seed;

    private SlotShare(int seed) {
        this.seed = seed;
    }

    /**
     * Creates the rule.
     *
     * @param entry id of this entry, different for each one, so that they round their shares differently
     */
    public static SlotShare of(String entry) {
        return new SlotShare(Objects.requireNonNull(entry, "entry").hashCode());
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        int slots = upstream.listing().slots();
        OptionalInt entries = upstream.entries();
        if (entries.isEmpty()
                || entries.getAsInt() <= slots
                || upstream.freshReport(nowNanos).isEmpty()) {
            return PlacementDecision.ALLOWED;
        }
        LoadReport report = upstream.freshReport(nowNanos).get();
        int limit = request.rank().route() == 0 ? slots + FIRST_RANK_QUEUE_LIMIT : slots;
        int free = Math.max(0, limit - report.running() - report.queued());
        double share = OVERSUBSCRIPTION * free / entries.getAsInt() + REUSED_SHARE * upstream.endedSinceReport();
        return upstream.sentSinceReport() < Math.floor(share + fraction(upstream))
                ? PlacementDecision.ALLOWED
                : PlacementDecision.SLOT_SHARE_USED;
    }

    /** Returns a number from 0 to 1 that differs between entries, upstreams and reports, to round shares at random. */
    private double fraction(Upstream upstream) {
        long draw = upstream.reportNanos() ^ ((long) upstream.id().hashCode() << Integer.SIZE) ^ seed;
        return new SplittableRandom(draw).nextDouble();
    }
}
