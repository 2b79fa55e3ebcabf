package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticcroft.experiments.replay.FakeLink;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.kernel.rollout.FetchView;

/** Machine that fetches chunks in a simulated rollout, with its uplink and downlink. */
final class RolloutMachine {
    private static final int MAX_DOWNLOADS = 3;
    private static final int MAX_UPLOADS = 3;
    private static final int NEIGHBOURS = 12;
    private static final int REMOTE_NEIGHBOURS = 4;
    private static final long FETCH_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long SUSPICION_MILLIS = 5_000;

    private final String name;
    private final int region;
    private final RolloutReplay replay;
    private final FakeLink uplink;
    private final FakeLink downlink;
    private final Map<String, Long> suspectedUntilMillis = new HashMap<>();
    private final Set<Integer> inProgress = new HashSet<>();
    private BitSet held = new BitSet();
    private List<FetchView.Peer> peers = List.of();
    private Map<String, RolloutMachine> neighbours = Map.of();
    private int activeUploads;
    private long startNanos;
    private long lastProgressNanos;
    private long storeSuspectedUntilMillis;
    private int version;
    private boolean dead;

    RolloutMachine(String name, int region, RolloutReplay replay) {
        this.name = name;
        this.region = region;
        this.replay = replay;
        this.uplink = FakeLink.of(RolloutReplay.MACHINE_BITS_PER_SECOND, replay.loop());
        this.downlink = FakeLink.of(RolloutReplay.MACHINE_BITS_PER_SECOND, replay.loop());
    }

    String name() {
        return name;
    }

    int region() {
        return region;
    }

    boolean isDead() {
        return dead;
    }

    boolean isComplete() {
        return !dead && held.cardinality() == RolloutReplay.CHUNKS;
    }

    void crash() {
        dead = true;
    }

    /** Drops all chunks and starts to fetch a new version. */
    void restart() {
        version++;
        held = new BitSet();
        inProgress.clear();
        suspectedUntilMillis.clear();
        peers = List.of();
        startNanos = replay.loop().nowNanos();
        lastProgressNanos = startNanos;
    }

    /** Samples peers of the region, and a few of the first region, and records the chunks that they hold. */
    void refreshPeers() {
        if (isComplete()) {
            return;
        }
        Map<String, RolloutMachine> sampledPeers = new HashMap<>();
        samplePeers(replay.region(region), NEIGHBOURS, sampledPeers);
        if (region != 0) {
            samplePeers(replay.region(0), REMOTE_NEIGHBOURS, sampledPeers);
        }
        List<FetchView.Peer> peerViews = new ArrayList<>();
        sampledPeers.values().stream()
                .filter(peer -> !peer.dead && peer.version == version)
                .forEach(peer -> peerViews.add(new FetchView.Peer(
                        peer.name,
                        peer.region == region,
                        (BitSet) peer.held.clone(),
                        MAX_UPLOADS - peer.activeUploads,
                        suspectedUntilMillis.getOrDefault(peer.name, 0L))));
        peers = peerViews;
        neighbours = sampledPeers;
    }

    /** Starts fetches while the planner returns one and the download limit allows it. */
    void fetchMore() {
        while (!dead && !isComplete() && inProgress.size() < MAX_DOWNLOADS) {
            Optional<Fetch> fetch = replay.planner().next(view(), replay.random());
            if (fetch.isEmpty() || !start(fetch.get())) {
                return;
            }
        }
    }

    private void samplePeers(List<RolloutMachine> members, int count, Map<String, RolloutMachine> sampled) {
        for (int attempt = 0; attempt < count; attempt++) {
            RolloutMachine peer = members.get(replay.random().nextInt(members.size()));
            if (peer != this) {
                sampled.put(peer.name, peer);
            }
        }
    }

    private FetchView view() {
        long now = replay.loop().nowNanos();
        return new FetchView(
                name,
                RolloutReplay.CHUNKS,
                held,
                inProgress,
                replay.listedMembers(region),
                peers,
                (now - startNanos) / 1_000_000,
                (now - lastProgressNanos) / 1_000_000,
                new FetchView.Store(region == 0, storeSuspectedUntilMillis));
    }

    private boolean start(Fetch fetch) {
        inProgress.add(fetch.chunk());
        if (fetch.source() instanceof Fetch.Source.PeerSource source) {
            return startFrom(neighbours.get(source.instance()), fetch.chunk());
        }
        if (replay.isOriginGone()) {
            storeSuspectedUntilMillis = (replay.loop().nowNanos() - startNanos) / 1_000_000 + SUSPICION_MILLIS;
            inProgress.remove(fetch.chunk());
            return false;
        }
        long arrivalNanos =
                Math.max(replay.origin().send(RolloutReplay.CHUNK_BYTES), downlink.send(RolloutReplay.CHUNK_BYTES));
        if (region != 0) {
            arrivalNanos =
                    Math.max(arrivalNanos, replay.interRegionLink(0, region).send(RolloutReplay.CHUNK_BYTES));
        }
        replay.onOriginFetch();
        int fetchedVersion = version;
        replay.loop()
                .scheduleAt(arrivalNanos, () -> finish(fetch.chunk(), fetchedVersion, "store", replay.isCorrupted()));
        return true;
    }

    private boolean startFrom(RolloutMachine peer, int chunk) {
        if (peer.dead || peer.version != version || peer.activeUploads >= MAX_UPLOADS) {
            inProgress.remove(chunk);
            peers = peers.stream()
                    .filter(other -> !other.instance().equals(peer.name))
                    .toList();
            return false;
        }
        long arrivalNanos =
                Math.max(peer.uplink.send(RolloutReplay.CHUNK_BYTES), downlink.send(RolloutReplay.CHUNK_BYTES));
        if (peer.region != region) {
            arrivalNanos = Math.max(
                    arrivalNanos, replay.interRegionLink(peer.region, region).send(RolloutReplay.CHUNK_BYTES));
        }
        peer.activeUploads++;
        int fetchedVersion = version;
        replay.loop().scheduleAt(arrivalNanos, () -> {
            peer.activeUploads--;
            if (peer.dead) {
                replay.loop().scheduleAfter(FETCH_TIMEOUT_NANOS, () -> finish(chunk, fetchedVersion, peer.name, true));
            } else {
                finish(chunk, fetchedVersion, peer.name, replay.isCorrupted());
            }
        });
        return true;
    }

    /** Ends a transfer; a lost or corrupt chunk is fetched again and its source is suspected for a while. */
    private void finish(int chunk, int fetchedVersion, String source, boolean failed) {
        if (dead || fetchedVersion != version) {
            return;
        }
        inProgress.remove(chunk);
        long now = replay.loop().nowNanos();
        if (failed) {
            suspectedUntilMillis.put(source, (now - startNanos) / 1_000_000 + SUSPICION_MILLIS);
            refreshPeers();
        } else {
            held.set(chunk);
            lastProgressNanos = now;
        }
        fetchMore();
    }
}
