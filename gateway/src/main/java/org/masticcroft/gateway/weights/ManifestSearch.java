package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Gets the manifest of a version. The sidecars in the region of the origin ask the origin; the others ask a sidecar
 * that states pieces of the version, so that the link of the origin is left to the pieces. Used on the event loop only.
 */
final class ManifestSearch {
    /** Time for which sidecars far from the origin wait for a statement of another one. */
    private static final Duration STATEMENT_WAIT = Duration.ofMillis(500);

    /** Pause after a peer gave no manifest; others may have it. */
    private static final Duration PEER_PAUSE = Duration.ofMillis(120);

    /** Pause after the origin gave no manifest. */
    private static final Duration ORIGIN_PAUSE = Duration.ofMillis(400);

    private final TimeSource time;
    private final DecisionLog log;
    private final WeightsSources sources;
    private final Peers peers;
    private final UniformRandomProvider random;
    private final int peerPort;
    private String model = "";
    private long version;
    private long startNanos;
    private long failedNanos;
    private Duration pause = Duration.ZERO;
    private boolean peerFailed;
    private boolean asking;
    private boolean doubted;

    ManifestSearch(
            TimeSource time,
            DecisionLog log,
            WeightsSources sources,
            Peers peers,
            UniformRandomProvider random,
            int peerPort) {
        this.time = time;
        this.log = log;
        this.sources = sources;
        this.peers = peers;
        this.random = random;
        this.peerPort = peerPort;
    }

    /** Turns to another version; what is still on its way for the earlier one is dropped. */
    void start(String newModel, long newVersion) {
        model = newModel;
        version = newVersion;
        startNanos = time.nanoTime();
        pause = Duration.ZERO;
        peerFailed = false;
        asking = false;
        doubted = false;
    }

    /** Asks the origin itself from now on, because the manifest that was found seems to be wrong. */
    void doubt() {
        doubted = true;
        asking = false;
        pause = Duration.ZERO;
    }

    /**
     * Asks for the manifest unless that is under way.
     *
     * @param origin address of the origin
     * @param originIsNear whether the origin is in the own region
     * @param region data centres of the own region, to prefer peers there
     * @param found receives the manifest
     */
    void ask(Address origin, boolean originIsNear, Peers.Region region, Consumer<Manifest> found) {
        if (asking || time.since(failedNanos).compareTo(pause) < 0) {
            return;
        }
        List<String> holders = peers.stating(model, version, region);
        if (!holders.isEmpty() && !doubted && !peerFailed) {
            asking = true;
            Address peer = new Address(holders.get(random.nextInt(holders.size())), peerPort);
            long asked = version;
            sources.manifestFromPeer(peer, model, version, reply -> received(asked, true, reply, found));
        } else if (originIsNear || doubted || time.since(startNanos).compareTo(STATEMENT_WAIT) >= 0) {
            asking = true;
            long asked = version;
            sources.manifestFromOrigin(origin, model, version, reply -> received(asked, false, reply, found));
        }
    }

    private void received(long asked, boolean fromPeer, Optional<Manifest> reply, Consumer<Manifest> found) {
        if (asked != version || !asking) {
            return;
        }
        asking = false;
        if (reply.isPresent()) {
            doubted = false;
            found.accept(reply.get());
            return;
        }
        peerFailed = fromPeer;
        failedNanos = time.nanoTime();
        pause = fromPeer ? PEER_PAUSE : ORIGIN_PAUSE;
        log.write(
                Event.MANIFEST_UNAVAILABLE,
                "model",
                model,
                "version",
                version,
                "source",
                fromPeer ? "peer" : FetchListener.ORIGIN);
    }
}
