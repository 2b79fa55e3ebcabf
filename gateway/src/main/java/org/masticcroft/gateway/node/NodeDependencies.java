package org.masticcroft.gateway.node;

import io.netty.channel.EventLoop;
import java.util.Random;
import org.masticcroft.gateway.account.AccountRecorder;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.PooledHttpClient;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.InputTimes;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Collaborators of a node.
 *
 * @param time time source
 * @param loop event loop on which the node runs
 * @param inputs times at which the event loop selects its input
 * @param random random number generator
 * @param log decision log
 * @param httpClient HTTP client for calls to the store, upstreams and other machines
 * @param store client of the platform's store
 * @param dialect translation between the platform's headers and requests
 * @param account records requests and changes in the audit account
 */
public record NodeDependencies(
        TimeSource time,
        EventLoop loop,
        InputTimes inputs,
        Random random,
        DecisionLog log,
        PooledHttpClient httpClient,
        FleetStore store,
        Dialect dialect,
        AccountRecorder account) {}
