package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticcroft.experiments.replay.LinkFake;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.kernel.rollout.FetchView;

/** One machine of a rollout with its link. */
final class RolloutMachine {
    private static final int DOWNLOADS = 3;
    private static final int UPLOADS = 3;
    private static final int NEIGHBOURS = 12;
    private static final int NEIGHBOURS_ABROAD = 4;
    private static final long TIMEOUT_NANOS = 2_000_000_000L;
    private static final long SUSPICION_MILLIS = 5_000;

    private final String name;
    private final int region;
    private final RolloutReplay replay;
    private final LinkFake up;
    private final LinkFake down;
    private final Map<String, Long> suspectedUntil = new HashMap<>();
    private final Set<Integer> inProgress = new HashSet<>();
    private BitSet held = new BitSet();
    private List<FetchView.Peer> peers = List.of();
    private Map<String, RolloutMachine> neighbours = Map.of();
    private int uploads;
    private long startNanos;
    private long lastProgressNanos;
    private long storeSuspectedUntilMillis;
    private int version;
    private boolean dead;

    RolloutMachine(String name, int region, RolloutReplay replay) {
        this.name = name;
        this.region = region;
        this.replay = replay;
        this.up = LinkFake.of(RolloutReplay.MACHINE_BITS_PER_SECOND, replay.loop());
        this.down = LinkFake.of(RolloutReplay.MACHINE_BITS_PER_SECOND, replay.loop());
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

    void die() {
        dead = true;
    }

    /** Drops all chunks and begins with a new version. */
    void restart() {
        version++;
        held = new BitSet();
        inProgress.clear();
        suspectedUntil.clear();
        peers = List.of();
        startNanos = replay.loop().now();
        lastProgressNanos = startNanos;
    }

    /** Asks random peers of the region, and a few of the first region, for the chunks that they hold. */
    void refreshPeers() {
        if (isComplete()) {
            return;
        }
        Map<String, RolloutMachine> asked = new HashMap<>();
        sample(replay.region(region), NEIGHBOURS, asked);
        if (region != 0) {
            sample(replay.region(0), NEIGHBOURS_ABROAD, asked);
        }
        List<FetchView.Peer> replies = new ArrayList<>();
        asked.values().stream()
                .filter(peer -> !peer.dead && peer.version == version)
                .forEach(peer -> replies.add(new FetchView.Peer(
                        peer.name,
                        peer.region == region,
                        (BitSet) peer.held.clone(),
                        UPLOADS - peer.uploads,
                        suspectedUntil.getOrDefault(peer.name, 0L))));
        peers = replies;
        neighbours = asked;
    }

    /** Starts fetches while the planner names one and downloads are free. */
    void fetchMore() {
        while (!dead && !isComplete() && inProgress.size() < DOWNLOADS) {
            Optional<Fetch> fetch = replay.planner().next(view(), replay.random());
            if (fetch.isEmpty() || !start(fetch.get())) {
                return;
            }
        }
    }

    private void sample(List<RolloutMachine> from, int count, Map<String, RolloutMachine> into) {
        for (int tries = 0; tries < count; tries++) {
            RolloutMachine peer = from.get(replay.random().nextInt(from.size()));
            if (peer != this) {
                into.put(peer.name, peer);
            }
        }
    }

    private FetchView view() {
        long now = replay.loop().now();
        return new FetchView(
                name,
                RolloutReplay.CHUNKS,
                held,
                inProgress,
                replay.listed(region),
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
            storeSuspectedUntilMillis = (replay.loop().now() - startNanos) / 1_000_000 + SUSPICION_MILLIS;
            inProgress.remove(fetch.chunk());
            return false;
        }
        long arrives = Math.max(replay.origin().send(RolloutReplay.CHUNK_BYTES), down.send(RolloutReplay.CHUNK_BYTES));
        if (region != 0) {
            arrives = Math.max(arrives, replay.cross(0, region).send(RolloutReplay.CHUNK_BYTES));
        }
        replay.onOriginDraw();
        int ofVersion = version;
        replay.loop().at(arrives, () -> finish(fetch.chunk(), ofVersion, "store", replay.isCorrupted()));
        return true;
    }

    private boolean startFrom(RolloutMachine peer, int chunk) {
        if (peer.dead || peer.version != version || peer.uploads >= UPLOADS) {
            inProgress.remove(chunk);
            peers = peers.stream()
                    .filter(other -> !other.instance().equals(peer.name))
                    .toList();
            return false;
        }
        long arrives = Math.max(peer.up.send(RolloutReplay.CHUNK_BYTES), down.send(RolloutReplay.CHUNK_BYTES));
        if (peer.region != region) {
            arrives = Math.max(arrives, replay.cross(peer.region, region).send(RolloutReplay.CHUNK_BYTES));
        }
        peer.uploads++;
        int ofVersion = version;
        replay.loop().at(arrives, () -> {
            peer.uploads--;
            if (peer.dead) {
                replay.loop().after(TIMEOUT_NANOS, () -> finish(chunk, ofVersion, peer.name, true));
            } else {
                finish(chunk, ofVersion, peer.name, replay.isCorrupted());
            }
        });
        return true;
    }

    /** Ends a transfer; a lost or corrupt chunk is fetched again and its source is set back for a while. */
    private void finish(int chunk, int ofVersion, String source, boolean failed) {
        if (dead || ofVersion != version) {
            return;
        }
        inProgress.remove(chunk);
        long now = replay.loop().now();
        if (failed) {
            suspectedUntil.put(source, (now - startNanos) / 1_000_000 + SUSPICION_MILLIS);
            refreshPeers();
        } else {
            held.set(chunk);
            lastProgressNanos = now;
        }
        fetchMore();
    }
}
