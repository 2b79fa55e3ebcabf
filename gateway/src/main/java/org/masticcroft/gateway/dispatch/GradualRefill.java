package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import org.masticcroft.gateway.fleet.Evacuations;

/**
 * Refills the engines of a data centre gradually after its evacuation was revoked. They are empty, so all entries would
 * predict the shortest time there and fill them between two load reports. The load of an engine may grow from what it
 * was at the return up to its slots in {@link #REFILL_TIME}, and each entry sends its share of what an engine serves in
 * that time. Upstreams without load reports are not limited. Used on the event loop only.
 */
public final class GradualRefill implements PlacementRule {
    /** Time in which the engines of a returning data centre get back to the rate of the others. */
    private static final Duration REFILL_TIME = Duration.ofSeconds(3);

    /** Time for which a request occupies a slot, on average: 12 slots serve about 13 requests a second. */
    private static final Duration SLOT_TIME = Duration.ofMillis(900);

    private final Evacuations evacuations;
    private final Random random;
    private final Map<Upstream, Refill> refills = new HashMap<>();

    private GradualRefill(Evacuations evacuations, Random random) {
        this.evacuations = evacuations;
        this.random = random;
    }

    /**
     * Creates a rule.
     *
     * @param evacuations evacuations that may be revoked
     * @param random spreads the first sends of the entries
     */
    public static GradualRefill of(Evacuations evacuations, Random random) {
        return new GradualRefill(
                Objects.requireNonNull(evacuations, "evacuations"), Objects.requireNonNull(random, "random"));
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        OptionalLong revoked = evacuations.revokedNanos(upstream.listing().zone());
        if (revoked.isEmpty() || nowNanos - revoked.getAsLong() >= REFILL_TIME.toNanos()) {
            return PlacementDecision.ALLOWED;
        }
        OptionalInt entries = upstream.entries();
        if (entries.isEmpty()) {
            return PlacementDecision.ALLOWED;
        }
        Refill refill = refill(upstream, revoked.getAsLong(), nowNanos);
        double progress = (double) (nowNanos - revoked.getAsLong()) / REFILL_TIME.toNanos();
        int slots = upstream.listing().slots();
        boolean loadFits = upstream.load(nowNanos) < refill.initialLoad + 1 + slots * progress;
        // The rate grows from zero in proportion to the time, so the number of sends grows with its square.
        double served = slots * progress * progress * REFILL_TIME.toNanos() / (2.0 * SLOT_TIME.toNanos());
        boolean shareFits = refill.sent + 1 <= refill.phase + served / entries.getAsInt();
        return loadFits && shareFits ? PlacementDecision.ALLOWED : PlacementDecision.REFILL_RATE_REACHED;
    }

    @Override
    public void onSend(QueuedRequest request, Upstream upstream, long nowNanos) {
        Refill refill = refills.get(upstream);
        if (refill != null) {
            refill.sent++;
        }
    }

    private Refill refill(Upstream upstream, long revokedNanos, long nowNanos) {
        Refill refill = refills.get(upstream);
        if (refill == null || refill.revokedNanos != revokedNanos) {
            refills.values().removeIf(old -> nowNanos - old.revokedNanos >= REFILL_TIME.toNanos());
            refill = new Refill(revokedNanos, upstream.load(nowNanos), random.nextDouble());
            refills.put(upstream, refill);
        }
        return refill;
    }

    /** The sends of this entry to one upstream since the evacuation of its data centre was revoked. */
    private static final class Refill {
        private final long revokedNanos;
        private final int initialLoad;

        /** Part of a send that the entry may make ahead of its share, so that not all entries send at the same time. */
        private final double phase;

        private int sent;

        private Refill(long revokedNanos, int initialLoad, double phase) {
            this.revokedNanos = revokedNanos;
            this.initialLoad = initialLoad;
            this.phase = phase;
        }
    }
}
