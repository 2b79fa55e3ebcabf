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
    /** Transfers at a time; each one is short, and several keep the own link busy over the round trips. */
    private static final int MAX_TRANSFERS = 5;

    /** Transfers from the origin at a time; it accepts a few dozen connections from the whole fleet. */
    private static final int MAX_ORIGIN_TRANSFERS = 3;

    /** Time for which the origin is avoided after it failed; a crashed one is back after some seconds. */
    private static final Duration ORIGIN_SET_BACK = Duration.ofMillis(700);

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
        while (!abandoned && !stock.complete() && inProgress.size() < MAX_TRANSFERS) {
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

    private FetchView view() {
        long sinceStart = time.since(startNanos).toMillis();
        List<FetchView.Peer> holders = peers
                .holders(
                        stock.manifest().model(),
                        stock.manifest().version(),
                        place.regions(),
                        place.region(),
                        sinceStart)
                .stream()
                .filter(peer -> !busyPeers.contains(peer.instance()))
                .toList();
        boolean avoidOrigin = originSetBack && time.since(originSetBackNanos).compareTo(ORIGIN_SET_BACK) < 0;
        return new FetchView(
                place.ownIp(),
                stock.manifest().pieces(),
                (BitSet) stock.held().clone(),
                inProgress,
                peers.lacking(stock.manifest().version(), place.regions(), place.region()),
                holders,
                sinceStart,
                time.since(progressNanos).toMillis(),
                new FetchView.Store(place.originIsNear(), avoidOrigin ? sinceStart + 1 : 0));
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
