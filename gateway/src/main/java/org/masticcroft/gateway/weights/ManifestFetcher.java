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
 * Fetches the manifest of a version. A sidecar that announces pieces of the version is asked first, so that the link of
 * the origin stays free for pieces. If there is none, the sidecars in the region of the origin ask the origin at once,
 * and the others after a wait. Used on the event loop only.
 */
final class ManifestFetcher {
    /** Time that sidecars outside the region of the origin wait for an announcement before they ask the origin. */
    private static final Duration PEER_WAIT = Duration.ofMillis(500);

    /** Delay after a peer returned no manifest; other sources may have it. */
    private static final Duration PEER_RETRY_DELAY = Duration.ofMillis(120);

    /** Delay after the origin returned no manifest. */
    private static final Duration ORIGIN_RETRY_DELAY = Duration.ofMillis(400);

    private final TimeSource time;
    private final DecisionLog log;
    private final WeightsSources sources;
    private final Peers peers;
    private final UniformRandomProvider random;
    private final int peerPort;
    private String model = "";
    private long version;
    private long startNanos;
    private long lastFailureNanos;
    private Duration retryDelay = Duration.ZERO;
    private boolean peerFailed;
    private boolean inProgress;
    private boolean originOnly;

    ManifestFetcher(
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

    /** Switches to another version; replies for the previous one are ignored. */
    void start(String newModel, long newVersion) {
        model = newModel;
        version = newVersion;
        startNanos = time.nanoTime();
        retryDelay = Duration.ZERO;
        peerFailed = false;
        inProgress = false;
        originOnly = false;
    }

    /**
     * Sends requests to the origin only until it returns a manifest, because the fetched manifest seems to be corrupt.
     */
    void useOriginOnly() {
        originOnly = true;
        inProgress = false;
        retryDelay = Duration.ZERO;
    }

    /**
     * Requests the manifest, unless a request is in progress or the retry delay has not passed.
     *
     * @param origin address of the origin
     * @param originInOwnRegion whether the origin is in the own region
     * @param region the own region, whose peers are preferred
     * @param onFetched receives the manifest
     */
    void fetch(Address origin, boolean originInOwnRegion, Peers.Region region, Consumer<Manifest> onFetched) {
        if (inProgress || time.since(lastFailureNanos).compareTo(retryDelay) < 0) {
            return;
        }
        List<String> holders = peers.manifestHolders(model, version, region);
        if (!holders.isEmpty() && !originOnly && !peerFailed) {
            inProgress = true;
            Address peer = new Address(holders.get(random.nextInt(holders.size())), peerPort);
            long requestedVersion = version;
            sources.manifestFromPeer(
                    peer, model, version, reply -> handleReply(requestedVersion, true, reply, onFetched));
        } else if (originInOwnRegion || originOnly || time.since(startNanos).compareTo(PEER_WAIT) >= 0) {
            inProgress = true;
            long requestedVersion = version;
            sources.manifestFromOrigin(
                    origin, model, version, reply -> handleReply(requestedVersion, false, reply, onFetched));
        }
    }

    private void handleReply(
            long requestedVersion, boolean fromPeer, Optional<Manifest> reply, Consumer<Manifest> onFetched) {
        if (requestedVersion != version || !inProgress) {
            return;
        }
        inProgress = false;
        if (reply.isPresent()) {
            originOnly = false;
            onFetched.accept(reply.get());
            return;
        }
        peerFailed = fromPeer;
        lastFailureNanos = time.nanoTime();
        retryDelay = fromPeer ? PEER_RETRY_DELAY : ORIGIN_RETRY_DELAY;
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
