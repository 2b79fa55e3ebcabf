package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.hash.RendezvousHash;

/**
 * Prefix affinity with bounded load: chooses the first candidate in the rendezvous order of the prompt prefix whose
 * load is within the bound. Requests without a prefix go to the less loaded of two random candidates.
 */
public final class PrefixAffinityChooser implements UpstreamChooser {
    /** Maximum load of an upstream chosen by affinity, relative to the mean load of all candidates. */
    static final double LOAD_BOUND = 1.25;

    /**
     * Number of candidates in rendezvous order that are checked before the less loaded of two random ones is chosen
     * instead.
     */
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
        List<UpstreamLoad> eligible = Loads.eligible(request, candidates);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        if (request.prefixHash() == 0) {
            return Optional.of(lessLoadedOfTwo(eligible, random, "no-prefix"));
        }
        double bound = boundPerSlot(eligible);
        UpstreamLoad[] preferred = preferred(request.prefixHash(), eligible);
        for (int index = 0; index < preferred.length; index++) {
            if (isWithinBound(bound, preferred[index])) {
                String reason = index == 0 ? name() : "affinity-overflow";
                return Optional.of(new Choice(preferred[index].upstream(), reason));
            }
        }
        return Optional.of(lessLoadedOfTwo(eligible, random, "two-choices"));
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

    /** Rounds the bound up to a whole request, so that an idle fleet accepts the first requests. */
    private static boolean isWithinBound(double boundPerSlot, UpstreamLoad load) {
        return Loads.inFlight(load) + 1 <= Math.ceil(boundPerSlot * Math.max(1, load.slots()));
    }

    /** Returns the candidates with the highest rendezvous scores, in descending order. */
    private static UpstreamLoad[] preferred(long prefixHash, List<UpstreamLoad> candidates) {
        int count = Math.min(MAX_PREFERRED, candidates.size());
        UpstreamLoad[] best = new UpstreamLoad[count];
        long[] scores = new long[count];
        int filled = 0;
        for (UpstreamLoad load : candidates) {
            long score = RendezvousHash.score(prefixHash, load.upstream());
            int position = filled;
            while (position > 0 && score > scores[position - 1]) {
                position--;
            }
            if (position < count) {
                int shifted = Math.min(filled, count - 1) - position;
                System.arraycopy(best, position, best, position + 1, shifted);
                System.arraycopy(scores, position, scores, position + 1, shifted);
                best[position] = load;
                scores[position] = score;
                filled = Math.min(filled + 1, count);
            }
        }
        return best;
    }

    private static Choice lessLoadedOfTwo(List<UpstreamLoad> candidates, UniformRandomProvider random, String reason) {
        UpstreamLoad first = candidates.get(random.nextInt(candidates.size()));
        UpstreamLoad second = candidates.get(random.nextInt(candidates.size()));
        return new Choice(
                (Loads.inFlightPerSlot(second) < Loads.inFlightPerSlot(first) ? second : first).upstream(), reason);
    }
}
