package org.masticcroft.entry;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.OptionalBinder;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.entry.admission.AdmissionGate;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.OutcomeCache;
import org.masticcroft.entry.peer.PeerEntries;
import org.masticcroft.entry.peer.StatusPoller;
import org.masticcroft.entry.policy.Policies;
import org.masticcroft.entry.request.EntryComponents;
import org.masticcroft.entry.request.RateLimiter;
import org.masticcroft.entry.request.RequestRegistry;
import org.masticcroft.entry.suspect.SuspectTable;
import org.masticcroft.entry.task.SynchronizedRandom;
import org.masticcroft.entry.task.Timers;
import org.masticcroft.entry.task.Workers;
import org.masticcroft.entry.upstream.BreakerFactory;
import org.masticcroft.entry.upstream.DeploymentHistory;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.version.ConfigFetcher;
import org.masticcroft.entry.version.VersionGate;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.retry.RetryAllowance;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.PeerClient;

/**
 * Guice module of the entry role. The binary binds {@code TimeSource}, {@code LogService}, {@code InstanceList},
 * {@code ConfigView}, {@code AccountWriter}, {@code PeerClient}, {@code MetricRegistry} and
 * {@code UniformRandomProvider}. It can replace the defaults of {@code BreakerFactory}, {@code RetryBudget} and
 * {@code ConfigFetcher} through {@code OptionalBinder}.
 */
public final class EntryModule extends AbstractModule {
    private final EntrySettings settings;

    private EntryModule(EntrySettings settings) {
        this.settings = settings;
    }

    /** Creates the module. */
    public static EntryModule of(EntrySettings settings) {
        return new EntryModule(Objects.requireNonNull(settings, "settings"));
    }

    @Override
    protected void configure() {
        bind(EntrySettings.class).toInstance(settings);
        OptionalBinder.newOptionalBinder(binder(), BreakerFactory.class)
                .setDefault()
                .toInstance(upstream -> ConsecutiveFailureBreaker.of());
        OptionalBinder.newOptionalBinder(binder(), RetryBudget.class)
                .setDefault()
                .toInstance(RetryAllowance.inAdditionTo(SlidingRetryBudget.of()));
        OptionalBinder.newOptionalBinder(binder(), ConfigFetcher.class)
                .setDefault()
                .toInstance(version -> {});
    }

    @Provides
    @Singleton
    SynchronizedRandom random(UniformRandomProvider random) {
        return SynchronizedRandom.of(random);
    }

    @Provides
    @Singleton
    Timers timers(TimeSource time) {
        return Timers.of(time);
    }

    @Provides
    @Singleton
    Policies policies() {
        return Policies.load();
    }

    @Provides
    @Singleton
    DeploymentHistory deployments() {
        return DeploymentHistory.empty();
    }

    @Provides
    @Singleton
    VersionGate versions(ConfigView config, ConfigFetcher fetcher) {
        return VersionGate.of(config, fetcher);
    }

    @Provides
    @Singleton
    UpstreamTable upstreams(TimeSource time, BreakerFactory breakers) {
        return UpstreamTable.of(settings.instance(), settings.region(), time, breakers);
    }

    @Provides
    @Singleton
    SuspectTable suspects(TimeSource time) {
        return SuspectTable.of(time);
    }

    @Provides
    @Singleton
    AdmissionGate gate(
            TimeSource time,
            ConfigView config,
            Policies policies,
            UpstreamTable upstreams,
            SuspectTable suspects,
            SynchronizedRandom random) {
        return AdmissionGate.of(time, config, policies, upstreams, suspects, random);
    }

    @Provides
    @Singleton
    ClaimLog claims(TimeSource time, LogService log) {
        return ClaimLog.of(settings.instance(), time, log, settings.keyLifetime());
    }

    @Provides
    @Singleton
    OutcomeCache outcomes(TimeSource time) {
        return OutcomeCache.of(settings.outcomeCacheBytes(), settings.keyLifetime(), time);
    }

    @Provides
    @Singleton
    PeerEntries entries(InstanceList instances, PeerClient peers, VersionGate versions) {
        return PeerEntries.of(settings.instance(), instances, peers, versions);
    }

    @Provides
    @Singleton
    RateLimiter limiter(TimeSource time) {
        return RateLimiter.of(time);
    }

    @Provides
    @Singleton
    @Workers
    ExecutorService workers() {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                settings.workerThreads(),
                settings.workerThreads(),
                1,
                TimeUnit.MINUTES,
                new LinkedBlockingQueue<>(),
                new ThreadFactoryBuilder()
                        .setNameFormat("entry-worker-%d")
                        .setDaemon(true)
                        .build());
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    @Provides
    @Singleton
    StatusPoller poller(EntryComponents components, InstanceList instances, RequestRegistry requests) {
        return StatusPoller.of(components, instances, requests::onUnreachable);
    }

    @Provides
    @Workers
    Executor executor(@Workers ExecutorService workers) {
        return workers;
    }

    @Provides
    @Singleton
    RequestRegistry requests(EntryComponents components) {
        return RequestRegistry.of(components);
    }
}
