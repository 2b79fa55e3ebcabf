package org.masticcroft.entry.request;

import com.codahale.metrics.MetricRegistry;
import jakarta.inject.Inject;
import java.util.concurrent.Executor;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.entry.EntrySettings;
import org.masticcroft.entry.admission.AdmissionGate;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.OutcomeCache;
import org.masticcroft.entry.peer.PeerEntries;
import org.masticcroft.entry.policy.Policies;
import org.masticcroft.entry.suspect.SuspectTable;
import org.masticcroft.entry.task.SynchronizedRandom;
import org.masticcroft.entry.task.Timers;
import org.masticcroft.entry.task.Workers;
import org.masticcroft.entry.upstream.DeploymentHistory;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.version.VersionGate;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.wire.PeerClient;

/**
 * Components of an entry that its requests share.
 *
 * @param settings settings of the entry
 * @param time clock
 * @param timers timers that use the clock
 * @param workers threads that run requests
 * @param config the configuration in force
 * @param versions prevents the entry from acting on an outdated configuration
 * @param deployments resolves deployments to weights
 * @param policies pluggable decision policies
 * @param retryBudget budget for the retries of all requests
 * @param random thread-safe random number generator
 * @param gate admission gate
 * @param upstreams upstream table
 * @param suspects suspect table
 * @param claims claim log
 * @param outcomes stored answers of orders
 * @param entries client of the other entries
 * @param peers client of the peer protocol
 * @param account writer of the audit account
 * @param limiter rate limiter of the customers
 * @param metrics metrics
 */
public record EntryComponents(
        EntrySettings settings,
        TimeSource time,
        Timers timers,
        @Workers Executor workers,
        ConfigView config,
        VersionGate versions,
        DeploymentHistory deployments,
        Policies policies,
        RetryBudget retryBudget,
        SynchronizedRandom random,
        AdmissionGate gate,
        UpstreamTable upstreams,
        SuspectTable suspects,
        ClaimLog claims,
        OutcomeCache outcomes,
        PeerEntries entries,
        PeerClient peers,
        AccountWriter account,
        RateLimiter limiter,
        MetricRegistry metrics) {
    /** Creates the components; called by the injector. */
    @Inject
    public EntryComponents {}
}
