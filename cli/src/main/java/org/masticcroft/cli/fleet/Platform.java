package org.masticcroft.cli.fleet;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.cli.SettingProblems;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.PeerClient;

/** The platform services and peers that commands talk to. */
public interface Platform extends AutoCloseable {
    /** Returns the log service. */
    LogService log();

    /** Reads the instance list; empty if it cannot be read. */
    Optional<List<Instance>> instances();

    /** Returns the client for requests to instances. */
    PeerClient peers();

    /** Returns the time that an instance has for an answer. */
    Duration peerTimeout();

    @Override
    void close();

    /** Opens a platform. */
    @FunctionalInterface
    interface Factory {
        /**
         * Opens the platform at the given addresses.
         *
         * @param log base URL of the log service, or address of the platform's store
         * @param instances base URL of the instance list
         * @param peerTimeout time that an instance has for an answer
         */
        Platform open(URI log, URI instances, Duration peerTimeout);
    }

    /** Returns a factory of platforms over HTTP and the peer protocol, or of the platform's store by its scheme. */
    static Factory http() {
        return (log, instances, peerTimeout) -> log.getScheme().equals(SettingProblems.STORE)
                ? new StorePlatform(log, peerTimeout)
                : new HttpPlatform(log, instances, peerTimeout);
    }
}
