package org.masticcroft.gateway.node;

import io.netty.channel.EventLoop;
import java.util.Random;
import org.masticcroft.gateway.account.RequestAccount;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.PooledHttpClient;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

/**
 * What a node is built from.
 *
 * @param time clock
 * @param loop event loop of the process
 * @param random source of random numbers
 * @param log decision log
 * @param caller HTTP client
 * @param store the platform's store
 * @param dialect translation of the headers of requests
 * @param account where an entry accounts for its requests
 */
public record NodeParts(
        TimeSource time,
        EventLoop loop,
        Random random,
        DecisionLog log,
        PooledHttpClient caller,
        FleetStore store,
        Dialect dialect,
        RequestAccount account) {}
