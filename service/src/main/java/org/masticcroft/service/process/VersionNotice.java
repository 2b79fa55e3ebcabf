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
 * Makes a process fetch a configuration version that it has only heard of. It asks a random entry, since messages do
 * not carry the peer address of their sender.
 */
public final class VersionNotice {
    private final ConfigTracker config;
    private final InstanceList instances;
    private final UniformRandomProvider random;

    private VersionNotice(ConfigTracker config, InstanceList instances, UniformRandomProvider random) {
        this.config = config;
        this.instances = instances;
        this.random = random;
    }

    /** Creates a notice for one process. */
    public static VersionNotice of(ConfigTracker config, InstanceList instances, UniformRandomProvider random) {
        return new VersionNotice(
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(random, "random"));
    }

    /** Fetches the configuration from a peer if {@code version} is newer than the one of this process. */
    public void heardOf(long version) {
        if (version <= config.version()) {
            return;
        }
        List<Instance> entries = instances.instances().stream()
                .filter(instance -> instance.role() == Instance.Role.ENTRY)
                .toList();
        if (!entries.isEmpty()) {
            Instance peer = entries.get(nextInt(entries.size()));
            config.observeVersion(version, new InetSocketAddress(peer.host(), peer.peerPort()));
        }
    }

    /** Returns a handler that takes note of the version in each message before the next handler gets it. */
    public PeerHandler listening(PeerHandler next) {
        return new Listening(this, next);
    }

    private int nextInt(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    private record Listening(VersionNotice notice, PeerHandler next) implements PeerHandler {
        @Override
        public void onRequest(Envelope request, PeerResponder responder) {
            notice.heardOf(request.getConfigVersion());
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
