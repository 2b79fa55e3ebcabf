package org.masticcroft.cli.fleet;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.platform.StoreConnection;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.NettyPeerClient;
import org.masticcroft.wire.PeerClient;

/**
 * Connects to the platform's store, which holds the account. There is no instance list, so commands that need one
 * report it as unavailable.
 */
final class StorePlatform implements Platform {
    private final StoreConnection store;
    private final PeerClient peers = NettyPeerClient.of(() -> 0);
    private final Duration peerTimeout;

    StorePlatform(URI address, Duration peerTimeout) {
        this.store = StoreConnection.open(address.getHost(), address.getPort(), TimeSource.system());
        this.peerTimeout = peerTimeout;
    }

    @Override
    public LogService log() {
        return store.account();
    }

    @Override
    public Optional<List<Instance>> instances() {
        return Optional.empty();
    }

    @Override
    public PeerClient peers() {
        return peers;
    }

    @Override
    public Duration peerTimeout() {
        return peerTimeout;
    }

    @Override
    public void close() {
        peers.close();
        store.close();
    }
}
