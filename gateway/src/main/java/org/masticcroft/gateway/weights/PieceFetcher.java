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

/** Fetches the pieces of one version of the weights from the origin and from other sidecars. */
final class PieceFetcher {
    /**
     * Maximum number of concurrent transfers from peers; each one is short, and several keep the link of this machine
     * busy during the round trips.
     */
    private static final int MAX_PEER_TRANSFERS = 4;

    /** Maximum number of concurrent transfers from the origin. */
    private static final int MAX_ORIGIN_TRANSFERS = 3;

    /**
     * Share of the connections of the origin that the sidecars of its region use for pieces. With more of them at once,
     * the origin dropped connection attempts, each of which cost 500 ms.
     */
    private static final double ORIGIN_CONNECTION_SHARE = 0.5;

    /** Delay between two attempts while the origin fails; a crashed origin is back after some seconds. */
    private static final Duration ORIGIN_RETRY_DELAY = Duration.ofMillis(300);

    /**
     * Time for which a snapshot of the peers is used again. Taking one costs time in proportion to the fleet, and peers
     * announce their pieces only every 120 ms.
     */
    private static final Duration SNAPSHOT_LIFETIME = Duration.ofMillis(25);

    /**
     * Time within which the other sidecars turn to a newly named version. Until then those that still announce an older
     * one count as owners of pieces, so that a sidecar does not draw all of them itself.
     */
    private static final long TURN_MILLIS = 500;

    /**
     * Time after which a sidecar that has announced nothing no longer counts as an owner of pieces. It is cut off or
     * has not started, and its pieces would wait until the others make no progress at all.
     */
    private static final long SILENCE_MILLIS = 1000;

    private final VerifiedPieces pieces;
    private final Topology topology;
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
    private long lastProgressNanos;
    private long originFailureNanos;
    private boolean originFailing;
    private int originTransfers;
    private boolean cancelled;
    private List<FetchView.Peer> holders = List.of();
    private List<String> regionFetchers = List.of();
    private boolean snapshotTaken;
    private long snapshotNanos;

    PieceFetcher(
            VerifiedPieces pieces,
            Topology topology,
            FetchPlanner planner,
            Peers peers,
            WeightsSources sources,
            TimeSource time,
            UniformRandomProvider random,
            DecisionLog log,
            FetchListener listener) {
        this.pieces = pieces;
        this.topology = topology;
        this.planner = planner;
        this.peers = peers;
        this.sources = sources;
        this.time = time;
        this.random = random;
        this.log = log;
        this.listener = listener;
        this.startNanos = time.nanoTime();
        this.lastProgressNanos = startNanos;
    }

    VerifiedPieces pieces() {
        return pieces;
    }

    /**
     * Starts transfers after an announcement of a peer, if one is free and the snapshot of the peers is old. In other
     * regions than that of the origin, draws from the origin are a last resort that need not wait for an announcement.
     */
    void onAnnouncement() {
        boolean free = peerTransferAllowed() || (topology.originInOwnRegion() && originAvailable());
        if (free && !snapshotIsFresh()) {
            startTransfers();
        }
    }

    /** Starts transfers until the planner returns no further one. */
    void startTransfers() {
        while (!cancelled && !pieces.complete()) {
            Optional<Fetch> next = planner.next(fetchView(), random);
            if (next.isEmpty()) {
                return;
            }
            startTransfer(next.get());
        }
    }

    /** Returns the time since the last piece was added, or since the start. */
    Duration sinceProgress() {
        return time.since(lastProgressNanos);
    }

    /** Starts no further transfers; those in progress only add their pieces to the verified ones. */
    void cancel() {
        cancelled = true;
    }

    private void startTransfer(Fetch fetch) {
        inProgress.add(fetch.chunk());
        log.write(
                Event.FETCH_DECISION,
                "version",
                pieces.manifest().version(),
                "piece",
                fetch.chunk(),
                "source",
                fetch.source() instanceof Fetch.Source.PeerSource peerSource
                        ? peerSource.instance()
                        : FetchListener.ORIGIN,
                "reason",
                fetch.reason());
        Manifest manifest = pieces.manifest();
        if (fetch.source() instanceof Fetch.Source.PeerSource peer) {
            busyPeers.add(peer.instance());
            Address address = new Address(peer.instance(), topology.peerPort());
            sources.pieceFromPeer(
                    address,
                    manifest.model(),
                    manifest.version(),
                    fetch.chunk(),
                    data -> handleReply(fetch, peer.instance(), data));
        } else {
            originTransfers++;
            sources.pieceFromOrigin(
                    topology.origin(),
                    manifest.model(),
                    manifest.version(),
                    fetch.chunk(),
                    data -> handleReply(fetch, "", data));
        }
    }

    /** Handles the reply to a request for a piece; an empty peer stands for the origin. */
    private void handleReply(Fetch fetch, String peer, PieceReply reply) {
        Optional<byte[]> data = reply.data();
        inProgress.remove(fetch.chunk());
        busyPeers.remove(peer);
        originTransfers -= peer.isEmpty() ? 1 : 0;
        if (pieces.bitmap().get(fetch.chunk())) {
            return;
        }
        if (cancelled) {
            // The other sidecars may still need the piece.
            data.ifPresent(bytes -> pieces.add(fetch.chunk(), bytes));
            return;
        }
        if (peer.isEmpty() && data.isPresent()) {
            originFailing = false;
        }
        if (data.isPresent() && pieces.add(fetch.chunk(), data.get())) {
            lastProgressNanos = time.nanoTime();
            listener.fetched(fetch.chunk(), peer.isEmpty() ? FetchListener.ORIGIN : peer);
        } else if (reply.busy() && !peer.isEmpty()) {
            // The peer is alive and uploads to others; another one may have the piece by now.
            peers.markBusy(peer);
            snapshotTaken = false;
        } else {
            handleFailure(fetch, peer, data.isPresent());
        }
        startTransfers();
    }

    private void handleFailure(Fetch fetch, String peer, boolean corrupt) {
        String source = peer.isEmpty() ? FetchListener.ORIGIN : peer;
        listener.failed(fetch.chunk(), source, corrupt);
        log.write(
                corrupt ? Event.CHUNK_REJECTED : Event.SOURCE_SET_BACK,
                "version",
                pieces.manifest().version(),
                "piece",
                fetch.chunk(),
                "source",
                source,
                "reason",
                corrupt ? "wrong-digest" : "not-given");
        if (!peer.isEmpty()) {
            peers.markFailed(peer);
            snapshotTaken = false;
        } else if (!corrupt) {
            originFailing = true;
            originFailureNanos = time.nanoTime();
        }
    }

    /**
     * Returns the peer without free upload slots: the planner fetches nothing from it now, but still counts its pieces
     * as present in its region.
     */
    private static FetchView.Peer withoutUploadSlots(FetchView.Peer peer) {
        return new FetchView.Peer(peer.instance(), peer.sameRegion(), peer.chunks(), 0, peer.suspectedUntilMillis());
    }

    /**
     * Returns whether another piece may be requested from the origin. While the origin fails, it gets one request at a
     * time.
     */
    private boolean originAvailable() {
        return originFailing
                ? originTransfers == 0 && time.since(originFailureNanos).compareTo(ORIGIN_RETRY_DELAY) >= 0
                : originTransfers < maxOriginTransfers(topology.originConnections(), regionFetchers.size());
    }

    /**
     * Returns the number of concurrent transfers from the origin that each sidecar of its region may have.
     *
     * @param originConnections connections that the origin accepts; 0 if unknown
     * @param fetchers sidecars of the region that fetch pieces
     */
    static int maxOriginTransfers(int originConnections, int fetchers) {
        if (originConnections == 0) {
            return MAX_ORIGIN_TRANSFERS;
        }
        int share = (int) (ORIGIN_CONNECTION_SHARE * originConnections / Math.max(1, fetchers));
        return Math.max(1, Math.min(MAX_ORIGIN_TRANSFERS, share));
    }

    private boolean snapshotIsFresh() {
        return snapshotTaken && time.since(snapshotNanos).compareTo(SNAPSHOT_LIFETIME) < 0;
    }

    private void takeSnapshot(long sinceStartMillis) {
        if (snapshotIsFresh()) {
            return;
        }
        snapshotTaken = true;
        snapshotNanos = time.nanoTime();
        Manifest manifest = pieces.manifest();
        holders = peers.holders(
                manifest.model(),
                manifest.version(),
                topology.regionByDataCentre(),
                topology.region(),
                sinceStartMillis);
        regionFetchers = sinceStartMillis < TURN_MILLIS
                ? peers.regionMembers(topology.regionByDataCentre(), topology.region())
                : peers.fetchers(
                        manifest.version(),
                        topology.regionByDataCentre(),
                        topology.region(),
                        sinceStartMillis < SILENCE_MILLIS);
    }

    /** Transfers from peers must not use up the limit of those from the origin, whose link is the bottleneck. */
    private boolean peerTransferAllowed() {
        return inProgress.size() - originTransfers < MAX_PEER_TRANSFERS;
    }

    private FetchView fetchView() {
        long sinceStart = time.since(startNanos).toMillis();
        boolean peerTransferAllowed = peerTransferAllowed();
        takeSnapshot(sinceStart);
        List<FetchView.Peer> usable = holders.stream()
                .map(peer ->
                        peerTransferAllowed && !busyPeers.contains(peer.instance()) ? peer : withoutUploadSlots(peer))
                .toList();
        return new FetchView(
                topology.ownIp(),
                pieces.manifest().pieceCount(),
                (BitSet) pieces.bitmap().clone(),
                inProgress,
                regionFetchers,
                usable,
                sinceStart,
                time.since(lastProgressNanos).toMillis(),
                new FetchView.Store(topology.originInOwnRegion(), originAvailable() ? 0 : sinceStart + 1));
    }

    /**
     * Addresses and regions that a sidecar needs for fetching.
     *
     * @param ownIp own IP address
     * @param peerPort port on which sidecars serve pieces
     * @param region own region
     * @param regionByDataCentre region of each data centre
     * @param origin address of the origin
     * @param originConnections connections that the origin accepts; 0 if unknown
     * @param originInOwnRegion whether the origin is in the own region
     */
    record Topology(
            String ownIp,
            int peerPort,
            String region,
            Map<String, String> regionByDataCentre,
            Address origin,
            int originConnections,
            boolean originInOwnRegion) {}
}
