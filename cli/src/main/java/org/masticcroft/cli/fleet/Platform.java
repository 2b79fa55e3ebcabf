package org.masticcroft.cli.fleet;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.cli.SettingValidator;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.PeerClient;

/** Clients of the platform services and of the instances, as commands use them. */
public interface Platform extends AutoCloseable {
    /** Returns the log service. */
    LogService log();

    /** Reads the instance list; empty if it cannot be read. */
    Optional<List<Instance>> instances();

    /** Returns the client for requests to instances. */
    PeerClient peers();

    /** Returns the timeout of requests to instances. */
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
         * @param peerTimeout timeout of requests to instances
         */
        Platform open(URI log, URI instances, Duration peerTimeout);
    }

    /**
     * Returns a factory that connects to the platform's store if the log URL has its scheme, and otherwise to the log
     * service and the instance list over HTTP.
     */
    static Factory http() {
        return (log, instances, peerTimeout) -> log.getScheme().equals(SettingValidator.STORE_SCHEME)
                ? new StorePlatform(log, peerTimeout)
                : new HttpPlatform(log, instances, peerTimeout);
    }
}
