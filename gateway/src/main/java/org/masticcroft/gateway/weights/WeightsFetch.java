package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.rollout.FetchView;
import org.masticcroft.kernel.time.TimeSource;

/** Collects the pieces of one version of weights from the origin and from other sidecars. */
final class WeightsFetch {
    /** Transfers from peers at a time; each one is short, and several keep the own link busy over the round trips. */
    private static final int MAX_PEER_TRANSFERS = 4;

    /** Transfers from the origin at a time; it accepts a few dozen connections from the whole fleet. */
    private static final int MAX_ORIGIN_TRANSFERS = 3;

    /** Pause between two tries while the origin fails; a crashed one is back after some seconds. */
    private static final Duration ORIGIN_SET_BACK = Duration.ofMillis(300);

    private final Stock stock;
    private final Place place;
    private final FetchPlanner planner;
    private final Peers peers;
    private final WeightsSources sources;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final FetchListener listener;
    private final Set<Integer> inProgress = new HashSet<>();
    private final Set<String> busyPeers = new HashSet<>();
    private final long startNanos;
    private long progressNanos;
    private long originSetBackNanos;
    private boolean originSetBack;
    private int originTransfers;
    private boolean abandoned;

    WeightsFetch(
            Stock stock,
            Place place,
            FetchPlanner planner,
            Peers peers,
            WeightsSources sources,
            TimeSource time,
            UniformRandomProvider random,
            DecisionLog log,
            FetchListener listener) {
        this.stock = stock;
        this.place = place;
        this.planner = planner;
        this.peers = peers;
        this.sources = sources;
        this.time = time;
        this.random = random;
        this.log = log;
        this.listener = listener;
        this.startNanos = time.nanoTime();
        this.progressNanos = startNanos;
    }

    Stock stock() {
        return stock;
    }

    /** Starts transfers as long as there is something useful to fetch. */
    void pump() {
        while (!abandoned && !stock.complete()) {
            Optional<Fetch> next = planner.next(view(), random);
            if (next.isEmpty()) {
                return;
            }
            start(next.get());
        }
    }

    /** Ignores the transfers that are still in progress. */
    void abandon() {
        abandoned = true;
    }

    private void start(Fetch fetch) {
        inProgress.add(fetch.chunk());
        log.write(
                Event.FETCH_DECISION,
                "version",
                stock.manifest().version(),
                "piece",
                fetch.chunk(),
                "source",
                fetch.source() instanceof Fetch.Source.PeerSource from ? from.instance() : FetchListener.ORIGIN,
                "reason",
                fetch.reason());
        Manifest manifest = stock.manifest();
        if (fetch.source() instanceof Fetch.Source.PeerSource peer) {
            busyPeers.add(peer.instance());
            Address address = new Address(peer.instance(), place.peerPort());
            sources.pieceFromPeer(
                    address,
                    manifest.model(),
                    manifest.version(),
                    fetch.chunk(),
                    data -> received(fetch, peer.instance(), data));
        } else {
            originTransfers++;
            sources.pieceFromOrigin(
                    place.origin(),
                    manifest.model(),
                    manifest.version(),
                    fetch.chunk(),
                    data -> received(fetch, "", data));
        }
    }

    private void received(Fetch fetch, String peer, Optional<byte[]> data) {
        inProgress.remove(fetch.chunk());
        busyPeers.remove(peer);
        originTransfers -= peer.isEmpty() ? 1 : 0;
        if (abandoned || stock.held().get(fetch.chunk())) {
            return;
        }
        if (peer.isEmpty() && data.isPresent()) {
            originSetBack = false;
        }
        if (data.isPresent() && stock.add(fetch.chunk(), data.get())) {
            progressNanos = time.nanoTime();
            listener.fetched(fetch.chunk(), peer.isEmpty() ? FetchListener.ORIGIN : peer);
        } else {
            setBack(fetch, peer, data.isPresent());
        }
        pump();
    }

    private void setBack(Fetch fetch, String peer, boolean corrupt) {
        String source = peer.isEmpty() ? FetchListener.ORIGIN : peer;
        listener.failed(fetch.chunk(), source, corrupt);
        log.write(
                corrupt ? Event.CHUNK_REJECTED : Event.SOURCE_SET_BACK,
                "version",
                stock.manifest().version(),
                "piece",
                fetch.chunk(),
                "source",
                source,
                "reason",
                corrupt ? "wrong-digest" : "not-given");
        if (!peer.isEmpty()) {
            peers.failed(peer);
        } else if (!corrupt) {
            originSetBack = true;
            originSetBackNanos = time.nanoTime();
        }
    }

    /** Returns a peer that is not asked now; what it holds still counts as present in its region. */
    private static FetchView.Peer withoutRoom(FetchView.Peer peer) {
        return new FetchView.Peer(peer.instance(), peer.sameRegion(), peer.chunks(), 0, peer.suspectedUntilMillis());
    }

    /** Returns whether the origin may be asked for another piece; while it fails, one call at a time tries it. */
    private boolean originHasRoom() {
        return originSetBack
                ? originTransfers == 0 && time.since(originSetBackNanos).compareTo(ORIGIN_SET_BACK) >= 0
                : originTransfers < MAX_ORIGIN_TRANSFERS;
    }

    private FetchView view() {
        long sinceStart = time.since(startNanos).toMillis();
        // Transfers from peers must not take the place of those from the origin, whose link is the narrowest.
        boolean peersHaveRoom = inProgress.size() - originTransfers < MAX_PEER_TRANSFERS;
        List<FetchView.Peer> holders = peers
                .holders(
                        stock.manifest().model(),
                        stock.manifest().version(),
                        place.regions(),
                        place.region(),
                        sinceStart)
                .stream()
                .map(peer -> peersHaveRoom && !busyPeers.contains(peer.instance()) ? peer : withoutRoom(peer))
                .toList();
        return new FetchView(
                place.ownIp(),
                stock.manifest().pieces(),
                (BitSet) stock.held().clone(),
                inProgress,
                peers.lacking(stock.manifest().version(), place.regions(), place.region()),
                holders,
                sinceStart,
                time.since(progressNanos).toMillis(),
                new FetchView.Store(place.originIsNear(), originHasRoom() ? 0 : sinceStart + 1));
    }

    /**
     * Where a sidecar stands.
     *
     * @param ownIp own IP address
     * @param peerPort port at which sidecars hand out pieces
     * @param region own region
     * @param regions region of each data centre
     * @param origin address of the origin
     * @param originIsNear whether the origin is in the own region
     */
    record Place(
            String ownIp,
            int peerPort,
            String region,
            Map<String, String> regions,
            Address origin,
            boolean originIsNear) {}
}
