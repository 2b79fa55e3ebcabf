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
    static final int MAX_PREFERRED = 4;

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
        double bound = boundPerSlot(permitted);
        UpstreamLoad[] preferred = preferred(request.prefixHash(), permitted);
        for (int place = 0; place < preferred.length; place++) {
            if (isWithin(bound, preferred[place])) {
                String reason = place == 0 ? name() : "affinity-overflow";
                return Optional.of(new Choice(preferred[place].upstream(), reason));
            }
        }
        return Optional.of(lessLoadedOfTwo(permitted, random, "two-choices"));
    }

    private static double boundPerSlot(List<UpstreamLoad> candidates) {
        long inFlight = 0;
        long slots = 0;
        for (UpstreamLoad load : candidates) {
            inFlight += Loads.inFlight(load);
            slots += Math.max(1, load.slots());
        }
        return LOAD_BOUND * (inFlight + 1) / slots;
    }

    /** The bound is rounded up to a whole request, so that an idle fleet accepts the first ones. */
    private static boolean isWithin(double boundPerSlot, UpstreamLoad load) {
        return Loads.inFlight(load) + 1 <= Math.ceil(boundPerSlot * Math.max(1, load.slots()));
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
