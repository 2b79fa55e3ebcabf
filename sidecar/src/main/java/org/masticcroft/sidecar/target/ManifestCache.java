package org.masticcroft.sidecar.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.ports.weights.WeightSource;

/** Reads manifests from the weight source in the background and caches them. Guarded by its monitor. */
public final class ManifestCache {
    /** Minimum time between attempts to read the same manifest; the weight source applies its own backoff as well. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    /** The manifest of 100 GB of weights takes about 12 MB; the least recently used manifest is evicted. */
    private static final int MAX_MANIFESTS = 6;

    private final WeightSource source;
    private final Executor executor;
    private final TimeSource time;
    private final Map<WeightsDigest, Manifest> manifests = new LinkedHashMap<>(MAX_MANIFESTS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<WeightsDigest, Manifest> eldest) {
            return size() > MAX_MANIFESTS;
        }
    };

    private final Map<WeightsDigest, Long> requestedAtNanos = new HashMap<>();

    private ManifestCache(WeightSource source, Executor executor, TimeSource time) {
        this.source = source;
        this.executor = executor;
        this.time = time;
    }

    /** Creates an empty cache. */
    public static ManifestCache of(WeightSource source, Executor executor, TimeSource time) {
        return new ManifestCache(
                Objects.requireNonNull(source, "source"),
                Objects.requireNonNull(executor, "executor"),
                Objects.requireNonNull(time, "time"));
    }

    /** Returns the manifest if it has been read. */
    public synchronized Optional<Manifest> find(WeightsDigest digest) {
        return Optional.ofNullable(manifests.get(digest));
    }

    /** Starts to read the manifest of a target, unless it is cached or was requested within the retry interval. */
    public void request(Target target) {
        if (shouldRequest(target.digest())) {
            executor.execute(() -> load(target));
        }
    }

    private synchronized boolean shouldRequest(WeightsDigest digest) {
        Long lastRequestNanos = requestedAtNanos.get(digest);
        boolean recent =
                lastRequestNanos != null && time.since(lastRequestNanos).compareTo(RETRY_INTERVAL) < 0;
        if (manifests.containsKey(digest) || recent) {
            return false;
        }
        requestedAtNanos.put(digest, time.nanoTime());
        return true;
    }

    private void load(Target target) {
        try {
            Manifest manifest = source.manifest(target.model(), target.version(), target.digest());
            if (!manifest.digest().equals(target.digest())) {
                throw new IllegalStateException("weight source returned an unverified manifest");
            }
            synchronized (this) {
                manifests.put(target.digest(), manifest);
            }
        } catch (MasticcroftException e) {
            EventLog.warn(Event.MANIFEST_UNAVAILABLE, "digest", target.digest(), "reason", e.getMessage());
        }
    }
}
