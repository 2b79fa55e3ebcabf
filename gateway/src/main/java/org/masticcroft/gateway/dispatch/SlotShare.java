package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.load.LoadReport;

/**
 * Shares the free slots of an engine between the entries. All entries see the same load reports, so without shares each
 * of them fills the free slots until the next report, and the surplus waits in the queue of the engine, where it can be
 * neither reordered nor refused. Between two reports, an entry sends what its share of the free slots and its own
 * completed requests allow. The prompts that fill the free slots of an idle engine would also delay each other, so the
 * shares add up to no more prompts than the engine prefills in a short time. Applies only where there are more entries
 * than slots, since a smaller number of entries exceeds the slots by little.
 */
public final class SlotShare implements PlacementRule {
    /** Ratio of the sum of all shares to the free slots; some entries have no request for the share that they get. */
    private static final double OVERSUBSCRIPTION = 1.5;

    /** Share of its completed requests that an entry replaces at once; the rest is shared by the next report. */
    private static final double REUSED_SHARE = 0.75;

    /** Additional requests of the first route rank that may queue in a full engine, where they overtake others. */
    private static final int FIRST_RANK_QUEUE_LIMIT = 2;

    /** Time within which an engine prefills the prompts that it gets between two reports, which come every 200 ms. */
    private static final double MAX_PREFILL_MILLIS = 150;

    /** Time for which the number of entries is used again; looking it up takes time in proportion to the fleet. */
    private static final Duration ENTRIES_LIFETIME = Duration.ofMillis(100);

    private final int seed;
    private final Function<String, Optional<EngineProfile>> profiles;
    private final LongFunction<OptionalInt> entriesAt;
    private OptionalInt entries = OptionalInt.empty();
    private OptionalLong entriesReadNanos = OptionalLong.empty();

    private SlotShare(
            int seed, Function<String, Optional<EngineProfile>> profiles, LongFunction<OptionalInt> entriesAt) {
        this.seed = seed;
        this.profiles = profiles;
        this.entriesAt = entriesAt;
    }

    /**
     * Creates the rule.
     *
     * @param entry id of this entry, different for each one, so that they round their shares differently
     * @param profiles returns the cost model of the upstreams of a service, if they have one
     * @param entriesAt returns the number of entries at a monotonic time in nanoseconds; empty if it is unknown. It is
     *     that of the fleet: an upstream that was added while some entries could not read the list knows of few
     */
    public static SlotShare of(
            String entry, Function<String, Optional<EngineProfile>> profiles, LongFunction<OptionalInt> entriesAt) {
        return new SlotShare(
                Objects.requireNonNull(entry, "entry").hashCode(),
                Objects.requireNonNull(profiles, "profiles"),
                Objects.requireNonNull(entriesAt, "entriesAt"));
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        int slots = upstream.listing().slots();
        readEntries(nowNanos);
        if (entries.isEmpty()
                || entries.getAsInt() <= slots
                || upstream.freshReport(nowNanos).isEmpty()) {
            return PlacementDecision.ALLOWED;
        }
        LoadReport report = upstream.freshReport(nowNanos).get();
        int limit = request.rank().route() == 0 ? slots + FIRST_RANK_QUEUE_LIMIT : slots;
        int freeSlots = Math.max(0, limit - report.running() - report.queued());
        double room = Math.min(freeSlots, promptsPerReport(request, upstream));
        double share = OVERSUBSCRIPTION * room / entries.getAsInt() + REUSED_SHARE * upstream.endedSinceReport();
        return upstream.sentSinceReport() < Math.floor(share + fraction(upstream))
                ? PlacementDecision.ALLOWED
                : PlacementDecision.SLOT_SHARE_USED;
    }

    private void readEntries(long nowNanos) {
        if (entriesReadNanos.isEmpty() || nowNanos - entriesReadNanos.getAsLong() >= ENTRIES_LIFETIME.toNanos()) {
            entries = entriesAt.apply(nowNanos);
            entriesReadNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Returns how many prompts like that of a request the upstream may get between two reports. */
    private double promptsPerReport(QueuedRequest request, Upstream upstream) {
        double prefillMillis = profiles.apply(upstream.listing().service())
                .map(profile -> profile.prefillMillis(request.promptTokens()))
                .orElse(0.0);
        return prefillMillis > 0 ? Math.max(1, MAX_PREFILL_MILLIS / prefillMillis) : Double.MAX_VALUE;
    }

    /** Returns a number from 0 to 1 that differs between entries, upstreams and reports, to round shares at random. */
    private double fraction(Upstream upstream) {
        long draw = upstream.reportNanos() ^ ((long) upstream.id().hashCode() << Integer.SIZE) ^ seed;
        return new SplittableRandom(draw).nextDouble();
    }
}
