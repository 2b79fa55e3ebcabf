package org.masticcroft.kernel.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.hash.RendezvousHash;

/**
 * Spreads chunks inside a region between peers and brings each chunk into the region once. Only the owner of a chunk
 * fetches it from outside: the first in rendezvous order of the members of the region. The next in order takes over
 * when it has made no progress for a while.
 */
public final class RegionalSwarmPlanner implements FetchPlanner {
    /**
     * Number of missing chunks that a region fetches from outside at a time. Few transfers at once keep each of them
     * short, so that a chunk spreads inside the region while the next one crosses.
     */
    static final int OUTSIDE_WINDOW = 8;

    /** Parameters for weights of many gigabytes, whose chunks take seconds. */
    static final Parameters DEFAULT_PARAMETERS = new Parameters(OUTSIDE_WINDOW, 10_000, 2_000, 20_000, 20_000);

    private final Parameters parameters;

    /** Creates the plug-in; used by the service loader. */
    public RegionalSwarmPlanner() {
        this(DEFAULT_PARAMETERS);
    }

    private RegionalSwarmPlanner(Parameters parameters) {
        this.parameters = parameters;
    }

    /** Creates a planner with other times until a member takes over. */
    public static RegionalSwarmPlanner of(Parameters parameters) {
        return new RegionalSwarmPlanner(Objects.requireNonNull(parameters, "parameters"));
    }

    @Override
    public String name() {
        return "regional-swarm";
    }

    @Override
    public Optional<Fetch> next(FetchView view, UniformRandomProvider random) {
        Optional<Fetch> outside = fromOutside(view, random);
        return outside.isPresent() ? outside : fromRegion(view, random);
    }

    /** Fetches the rarest chunk among the known peers of the region, because it is the most likely to become scarce. */
    private static Optional<Fetch> fromRegion(FetchView view, UniformRandomProvider random) {
        List<FetchView.Peer> sources = view.peers().stream()
                .filter(peer -> peer.sameRegion() && isUsable(peer, view))
                .toList();
        BitSet useful = new BitSet(view.chunkCount());
        sources.forEach(peer -> useful.or(peer.chunks()));
        useful.andNot(view.held());
        view.inProgress().forEach(useful::clear);
        int rarest = -1;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (int chunk = useful.nextSetBit(0); chunk >= 0; chunk = useful.nextSetBit(chunk + 1)) {
            int holders = 0;
            for (FetchView.Peer peer : view.peers()) {
                holders += peer.sameRegion() && peer.chunks().get(chunk) ? 1 : 0;
            }
            ties = holders < fewest ? 1 : holders == fewest ? ties + 1 : ties;
            if (holders < fewest || holders == fewest && random.nextInt(ties) == 0) {
                rarest = chunk;
                fewest = holders;
            }
        }
        return rarest < 0 ? Optional.empty() : Optional.of(fromPeer(rarest, sources, random, "rarest-in-region"));
    }

    private Optional<Fetch> fromOutside(FetchView view, UniformRandomProvider random) {
        BitSet inRegion = (BitSet) view.held().clone();
        view.peers().stream().filter(FetchView.Peer::sameRegion).forEach(peer -> inRegion.or(peer.chunks()));
        int chunk = inRegion.nextClearBit(0);
        for (int place = 0; place < parameters.outsideWindow() && chunk < view.chunkCount(); place++) {
            if (!view.inProgress().contains(chunk) && isTurn(chunk, view)) {
                Optional<Fetch> fetch = outsideSource(chunk, view, random);
                if (fetch.isPresent()) {
                    return fetch;
                }
            }
            chunk = inRegion.nextClearBit(chunk + 1);
        }
        return Optional.empty();
    }

    private Optional<Fetch> outsideSource(int chunk, FetchView view, UniformRandomProvider random) {
        boolean storeUsable = view.store().suspectedUntilMillis() <= view.sinceStartMillis();
        if (view.store().firstRegion() && storeUsable) {
            return Optional.of(new Fetch(chunk, new Fetch.Source.Store(), "owner-from-store"));
        }
        List<FetchView.Peer> otherRegions = view.peers().stream()
                .filter(peer -> !peer.sameRegion() && isUsable(peer, view))
                .filter(peer -> peer.chunks().get(chunk))
                .toList();
        if (!otherRegions.isEmpty()) {
            return Optional.of(fromPeer(chunk, otherRegions, random, "owner-from-region"));
        }
        boolean othersFetch = view.peers().stream().anyMatch(peer -> !peer.sameRegion());
        long fallback = othersFetch ? parameters.storeFallbackMillis() : parameters.aloneFallbackMillis();
        return storeUsable && view.lastProgressMillis() >= fallback
                ? Optional.of(new Fetch(chunk, new Fetch.Source.Store(), "store-fallback"))
                : Optional.empty();
    }

    private static Fetch fromPeer(
            int chunk, List<FetchView.Peer> sources, UniformRandomProvider random, String reason) {
        List<FetchView.Peer> holders = new ArrayList<>();
        for (FetchView.Peer peer : sources) {
            if (peer.chunks().get(chunk)) {
                holders.add(peer);
            }
        }
        FetchView.Peer source = holders.get(random.nextInt(holders.size()));
        return new Fetch(chunk, new Fetch.Source.PeerSource(source.instance()), reason);
    }

    private static boolean isUsable(FetchView.Peer peer, FetchView view) {
        return peer.freeUploadSlots() > 0 && peer.suspectedUntilMillis() <= view.sinceStartMillis();
    }

    /** Returns whether this sidecar is the owner of the chunk or has to take over by now. */
    private boolean isTurn(int chunk, FetchView view) {
        long own = RendezvousHash.score(chunk, view.self());
        long place = 0;
        for (String member : view.regionMembers()) {
            if (RendezvousHash.score(chunk, member) > own && !member.equals(view.self())) {
                place++;
            }
        }
        return place == 0
                || view.lastProgressMillis()
                        >= parameters.firstTakeoverMillis() + (place - 1) * parameters.takeoverStepMillis();
    }

    /**
     * How many chunks a region fetches from outside at a time, and how long its members wait for each other.
     *
     * @param outsideWindow number of missing chunks that a region fetches from outside at a time
     * @param firstTakeoverMillis time without progress after which the second in order takes over a chunk
     * @param takeoverStepMillis further time without progress for each further place in the order
     * @param storeFallbackMillis time without progress after which a region that waits for another one draws from the
     *     store
     * @param aloneFallbackMillis the same while no machine of another region has stated anything of the version
     */
    public record Parameters(
            int outsideWindow,
            long firstTakeoverMillis,
            long takeoverStepMillis,
            long storeFallbackMillis,
            long aloneFallbackMillis) {}
}
