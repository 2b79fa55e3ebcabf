package org.masticcroft.kernel.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.hash.RendezvousHash;

/**
 * Fetches each chunk into a region once and distributes it inside the region between peers. Only the owner of a chunk
 * fetches it from outside the region: the first member of the region in the rendezvous order of the chunk. Another
 * member takes over when it has made no progress for a time that grows with its position in the order.
 */
public final class RegionalSwarmPlanner implements FetchPlanner {
    /**
     * Number of missing chunks that a region fetches from outside at a time. With few concurrent transfers each one is
     * short, so that a chunk is distributed inside the region while the next one is transferred.
     */
    static final int OUTSIDE_WINDOW = 8;

    /** Parameters for weights of many gigabytes, whose chunks take seconds to transfer. */
    static final Parameters DEFAULT_PARAMETERS = new Parameters(OUTSIDE_WINDOW, 10_000, 2_000, 20_000, 20_000);

    private final Parameters parameters;

    /** Creates the plug-in; used by the service loader. */
    public RegionalSwarmPlanner() {
        this(DEFAULT_PARAMETERS);
    }

    private RegionalSwarmPlanner(Parameters parameters) {
        this.parameters = parameters;
    }

    /** Creates a planner with the given parameters. */
    public static RegionalSwarmPlanner of(Parameters parameters) {
        return new RegionalSwarmPlanner(Objects.requireNonNull(parameters, "parameters"));
    }

    @Override
    public String name() {
        return "regional-swarm";
    }

    @Override
    public Optional<Fetch> next(FetchView view, UniformRandomProvider random) {
        Optional<Fetch> outside = nextFromOutside(view, random);
        return outside.isPresent() ? outside : nextFromRegion(view, random);
    }

    /**
     * Returns a fetch of the chunk that the fewest known peers of the region hold, because it is the most likely to
     * become scarce.
     */
    private static Optional<Fetch> nextFromRegion(FetchView view, UniformRandomProvider random) {
        List<FetchView.Peer> sources = view.peers().stream()
                .filter(peer -> peer.sameRegion() && isUsable(peer, view))
                .toList();
        BitSet available = new BitSet(view.chunkCount());
        sources.forEach(peer -> available.or(peer.chunks()));
        available.andNot(view.held());
        view.inProgress().forEach(available::clear);
        int rarest = -1;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (int chunk = available.nextSetBit(0); chunk >= 0; chunk = available.nextSetBit(chunk + 1)) {
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
        return rarest < 0 ? Optional.empty() : Optional.of(fetchFromPeer(rarest, sources, random, "rarest-in-region"));
    }

    /**
     * Returns a fetch of the missing chunk for which this member is nearest to the front of the order of owners. After
     * an outage, when every member may take over every chunk, each one thus begins with its own.
     */
    private Optional<Fetch> nextFromOutside(FetchView view, UniformRandomProvider random) {
        BitSet inRegion = (BitSet) view.held().clone();
        view.peers().stream().filter(FetchView.Peer::sameRegion).forEach(peer -> inRegion.or(peer.chunks()));
        List<Candidate> candidates = new ArrayList<>();
        int chunk = inRegion.nextClearBit(0);
        for (int missing = 0; missing < parameters.outsideWindow() && chunk < view.chunkCount(); missing++) {
            long position = view.inProgress().contains(chunk) ? Long.MAX_VALUE : position(chunk, view);
            if (mayFetch(position, view)) {
                candidates.add(new Candidate(chunk, position));
            }
            chunk = inRegion.nextClearBit(chunk + 1);
        }
        candidates.sort(Comparator.comparingLong(Candidate::position));
        for (Candidate candidate : candidates) {
            Optional<Fetch> fetch = fetchFromOutside(candidate.chunk(), view, random);
            if (fetch.isPresent()) {
                return fetch;
            }
        }
        return Optional.empty();
    }

    private Optional<Fetch> fetchFromOutside(int chunk, FetchView view, UniformRandomProvider random) {
        boolean storeUsable = view.store().suspectedUntilMillis() <= view.sinceStartMillis();
        if (view.store().sameRegion() && storeUsable) {
            return Optional.of(new Fetch(chunk, new Fetch.Source.Store(), "owner-from-store"));
        }
        List<FetchView.Peer> outsideSources = view.peers().stream()
                .filter(peer -> !peer.sameRegion() && isUsable(peer, view))
                .filter(peer -> peer.chunks().get(chunk))
                .toList();
        if (!outsideSources.isEmpty()) {
            return Optional.of(fetchFromPeer(chunk, outsideSources, random, "owner-from-region"));
        }
        boolean hasOutsidePeers = view.peers().stream().anyMatch(peer -> !peer.sameRegion());
        long fallbackMillis = hasOutsidePeers ? parameters.storeFallbackMillis() : parameters.noPeerFallbackMillis();
        return storeUsable && view.sinceLastProgressMillis() >= fallbackMillis
                ? Optional.of(new Fetch(chunk, new Fetch.Source.Store(), "store-fallback"))
                : Optional.empty();
    }

    private static Fetch fetchFromPeer(
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

    /** Returns the number of members before this one in the order of owners of a chunk. */
    private static long position(int chunk, FetchView view) {
        long ownScore = RendezvousHash.score(chunk, view.self());
        return view.regionMembers().stream()
                .filter(member -> !member.equals(view.self()) && RendezvousHash.score(chunk, member) > ownScore)
                .count();
    }

    /** Returns whether a member at a position in the order owns the chunk or has to take it over by now. */
    private boolean mayFetch(long position, FetchView view) {
        return position == 0
                || position < view.regionMembers().size()
                        && view.sinceLastProgressMillis()
                                >= parameters.firstTakeoverMillis() + (position - 1) * parameters.takeoverStepMillis();
    }

    /** A chunk that this member may fetch, and its position in the order of owners. */
    private record Candidate(int chunk, long position) {}

    /**
     * Fetch window of a region and the times without progress after which its members use another source.
     *
     * @param outsideWindow number of missing chunks that a region fetches from outside at a time
     * @param firstTakeoverMillis time without progress after which the second member in the order takes over a chunk
     * @param takeoverStepMillis additional time without progress for each further position in the order
     * @param storeFallbackMillis time without progress after which a member of a region without the store fetches from
     *     the store, although peers of other regions are known
     * @param noPeerFallbackMillis the same time while no peer of another region has reported chunks of the weights
     */
    public record Parameters(
            int outsideWindow,
            long firstTakeoverMillis,
            long takeoverStepMillis,
            long storeFallbackMillis,
            long noPeerFallbackMillis) {}
}
