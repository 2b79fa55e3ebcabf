package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.hash.RendezvousHash;

/**
 * Prefix affinity with bounded load: the first candidate in rendezvous order of the prompt prefix whose load is within
 * the bound. Requests without a prefix go to the less loaded of two random candidates.
 */
public final class PrefixAffinityChooser implements UpstreamChooser {
    /** Largest load of a chosen upstream, relative to the mean of all candidates. */
    static final double LOAD_BOUND = 1.25;

    /** Number of candidates in rendezvous order that are tried before the choice falls back to two random ones. */
    static final int MAX_PREFERRED = 8;

    /**
     * Part of the mean load below the bound over which the probability of a choice falls from 1 to 0. Reports are old,
     * so a sharp bound would send the requests of all entries to one upstream until the next report.
     */
    private static final double SOFT_RANGE = 0.5;

    /** Creates the plug-in; used by the service loader. */
    public PrefixAffinityChooser() {}

    @Override
    public String name() {
        return "prefix-affinity";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        List<UpstreamLoad> permitted = Loads.permitted(request, candidates);
        if (permitted.isEmpty()) {
            return Optional.empty();
        }
        if (request.prefixHash() == 0) {
            return Optional.of(lessLoadedOfTwo(permitted, random, "no-prefix"));
        }
        double mean = meanPerSlot(permitted);
        UpstreamLoad[] preferred = preferred(request.prefixHash(), permitted);
        for (int place = 0; place < preferred.length; place++) {
            if (isAccepted(mean, preferred[place], random)) {
                String reason = place == 0 ? name() : "affinity-overflow";
                return Optional.of(new Choice(preferred[place].upstream(), reason));
            }
        }
        return Optional.of(lessLoadedOfTwo(permitted, random, "two-choices"));
    }

    private static double meanPerSlot(List<UpstreamLoad> candidates) {
        long inFlight = 0;
        long slots = 0;
        for (UpstreamLoad load : candidates) {
            inFlight += Loads.inFlight(load);
            slots += Math.max(1, load.slots());
        }
        return (double) inFlight / slots;
    }

    /** An idle upstream is always accepted. */
    private static boolean isAccepted(double meanPerSlot, UpstreamLoad load, UniformRandomProvider random) {
        double relative = Loads.inFlight(load) == 0 ? 0 : Loads.perSlot(load) / meanPerSlot;
        double probability = (LOAD_BOUND - relative) / SOFT_RANGE;
        return probability >= 1 || probability > 0 && random.nextDouble() < probability;
    }

    /** Returns the candidates with the highest scores, best first. */
    private static UpstreamLoad[] preferred(long prefixHash, List<UpstreamLoad> candidates) {
        int count = Math.min(MAX_PREFERRED, candidates.size());
        UpstreamLoad[] best = new UpstreamLoad[count];
        long[] scores = new long[count];
        int filled = 0;
        for (UpstreamLoad load : candidates) {
            long score = RendezvousHash.score(prefixHash, load.upstream());
            int place = filled;
            while (place > 0 && score > scores[place - 1]) {
                place--;
            }
            if (place < count) {
                int moved = Math.min(filled, count - 1) - place;
                System.arraycopy(best, place, best, place + 1, moved);
                System.arraycopy(scores, place, scores, place + 1, moved);
                best[place] = load;
                scores[place] = score;
                filled = Math.min(filled + 1, count);
            }
        }
        return best;
    }

    private static Choice lessLoadedOfTwo(List<UpstreamLoad> candidates, UniformRandomProvider random, String reason) {
        UpstreamLoad one = candidates.get(random.nextInt(candidates.size()));
        UpstreamLoad other = candidates.get(random.nextInt(candidates.size()));
        return new Choice((Loads.perSlot(other) < Loads.perSlot(one) ? other : one).upstream(), reason);
    }
}
