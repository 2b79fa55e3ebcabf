package org.masticcroft.service.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.ports.config.ConfigTracker;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Envelope;

/**
 * Detects that peers or callers use a newer configuration version than this process, and fetches it. It asks a random
 * entry, since messages do not carry the peer address of their sender.
 */
public final class PeerVersionMonitor {
    private final ConfigTracker config;
    private final InstanceList instances;
    private final UniformRandomProvider random;

    private PeerVersionMonitor(ConfigTracker config, InstanceList instances, UniformRandomProvider random) {
        this.config = config;
        this.instances = instances;
        this.random = random;
    }

    /**
     * Creates a monitor.
     *
     * @param random source of randomness; used under its own monitor
     */
    public static PeerVersionMonitor of(ConfigTracker config, InstanceList instances, UniformRandomProvider random) {
        return new PeerVersionMonitor(
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(random, "random"));
    }

    /** Fetches the configuration from a random entry if {@code version} is newer than the one of this process. */
    public void fetchAtLeast(long version) {
        if (version <= config.version()) {
            return;
        }
        List<Instance> entries = instances.instances().stream()
                .filter(instance -> instance.role() == Instance.Role.ENTRY)
                .toList();
        if (!entries.isEmpty()) {
            Instance peer = entries.get(randomIndex(entries.size()));
            config.observeVersion(version, new InetSocketAddress(peer.host(), peer.peerPort()));
        }
    }

    /** Returns a handler that checks the version in the first message of each call before it calls {@code next}. */
    public PeerHandler monitoring(PeerHandler next) {
        return new MonitoringHandler(this, next);
    }

    private int randomIndex(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    private record MonitoringHandler(PeerVersionMonitor monitor, PeerHandler next) implements PeerHandler {
        @Override
        public void onRequest(Envelope request, PeerResponder responder) {
            monitor.fetchAtLeast(request.getConfigVersion());
            next.onRequest(request, responder);
        }

        @Override
        public void onMessage(Envelope message, PeerResponder responder) {
            next.onMessage(message, responder);
        }

        @Override
        public void onDisconnect(PeerResponder responder) {
            next.onDisconnect(responder);
        }
    }
}
