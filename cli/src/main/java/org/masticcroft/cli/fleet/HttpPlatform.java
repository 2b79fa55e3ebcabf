package org.masticcroft.cli.fleet;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.ports.instance.HttpInstanceList;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.HttpLogService;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.NettyPeerClient;
import org.masticcroft.wire.PeerClient;

/** Connects to the log service and the instance list over HTTP, and to instances over the peer protocol. */
final class HttpPlatform implements Platform {
    private final LogService log;
    private final HttpInstanceList instances;
    private final PeerClient peers = NettyPeerClient.of(() -> 0);
    private final Duration peerTimeout;

    HttpPlatform(URI log, URI instances, Duration peerTimeout) {
        this.log = HttpLogService.of(log);
        this.instances = HttpInstanceList.of(instances);
        this.peerTimeout = peerTimeout;
    }

    @Override
    public LogService log() {
        return log;
    }

    @Override
    public Optional<List<Instance>> instances() {
        return instances.refresh() ? Optional.of(instances.instances()) : Optional.empty();
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
        instances.close();
    }
}
