package org.masticcroft.service.process;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import java.time.Duration;
import java.util.Objects;
import java.util.TreeMap;
import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.config.ConfigTracker;
import org.masticcroft.ports.config.TrackerSettings;
import org.masticcroft.ports.instance.HttpInstanceList;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.HttpLogService;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.service.setting.CommonOptions;
import org.masticcroft.wire.NettyPeerClient;
import org.masticcroft.wire.PeerClient;

/** Guice module with the objects that both roles need. A process creates it once. */
public final class ServiceContext extends AbstractModule implements AutoCloseable {
    private final TimeSource time = TimeSource.system();
    private final MetricRegistry metrics = new MetricRegistry();
    private final String incarnation = UUID.randomUUID().toString();
    private final HttpLogService log;
    private final HttpInstanceList instances;
    private final ConfigTracker config;
    private final NettyPeerClient peers;
    private final LogAccountWriter account;

    private ServiceContext(
            HttpLogService log,
            HttpInstanceList instances,
            ConfigTracker config,
            NettyPeerClient peers,
            AccountSettings accountSettings,
            SigningKey signingKey) {
        this.log = log;
        this.instances = instances;
        this.config = config;
        this.peers = peers;
        this.account = LogAccountWriter.of(withIncarnation(accountSettings, incarnation), signingKey, log, time);
    }

    /**
     * Creates the objects of an entry; nothing is started. Entries re-publish snapshots of the configuration before it
     * expires from the log.
     *
     * @throws IllegalArgumentException if the account key is malformed
     */
    public static ServiceContext ofEntry(CommonOptions options) {
        return of(options, "entry", options.accountFlushOr(AppendBudget.ENTRY_FLUSH), true);
    }

    /**
     * Creates the objects of a sidecar; nothing is started.
     *
     * @throws IllegalArgumentException if the account key is malformed
     */
    public static ServiceContext ofSidecar(CommonOptions options) {
        return of(options, "sidecar", options.accountFlushOr(AppendBudget.SIDECAR_FLUSH), false);
    }

    private static ServiceContext of(
            CommonOptions options, String role, Duration flushInterval, boolean publishesSnapshots) {
        HttpLogService log = HttpLogService.of(options.logUrl());
        HttpInstanceList instances = HttpInstanceList.of(options.instancesUrl());
        TrackerSettings trackerSettings = TrackerSettings.of(options.instance());
        ConfigTracker config = ConfigTracker.of(
                log,
                instances,
                TimeSource.system(),
                newRandom(),
                publishesSnapshots ? trackerSettings.withLogRetention(options.logRetention()) : trackerSettings);
        NettyPeerClient peers = NettyPeerClient.of(config::version);
        config.attachPeers(peers);
        return new ServiceContext(
                log,
                instances,
                config,
                peers,
                AccountSettings.of(options.instance(), role, flushInterval),
                SigningKey.parse(options.accountKey()));
    }

    public ConfigTracker config() {
        return config;
    }

    public InstanceList instances() {
        return instances;
    }

    public MetricRegistry metrics() {
        return metrics;
    }

    public String incarnation() {
        return incarnation;
    }

    /** Starts polling the instance list and the configuration, and starts the account writer. */
    public void start() {
        instances.start();
        config.addListener(this::recordAppliedVersion);
        config.start();
        account.start(AppendBudget.of(instances)::scaledInterval);
    }

    /** Stops all objects; the account is flushed last. */
    @Override
    public void close() {
        config.close();
        instances.close();
        peers.close();
        account.close();
    }

    @Override
    protected void configure() {
        bind(TimeSource.class).toInstance(time);
        bind(MetricRegistry.class).toInstance(metrics);
        bind(LogService.class).toInstance(log);
        bind(InstanceList.class).toInstance(instances);
        bind(ConfigView.class).toInstance(config);
        bind(PeerClient.class).toInstance(peers);
        bind(AccountWriter.class).toInstance(account);
        bind(UniformRandomProvider.class).toProvider(ServiceContext::newRandom);
    }

    private void recordAppliedVersion(ConfigState state) {
        TreeMap<String, String> details = new TreeMap<>();
        details.put("version", Long.toString(state.version()));
        account.write(new ChangeRecord(time.now(), "config-applied", details));
    }

    private static AccountSettings withIncarnation(AccountSettings settings, String incarnation) {
        return new AccountSettings(
                settings.writer() + "/" + Objects.requireNonNull(incarnation),
                settings.role(),
                settings.flushInterval(),
                settings.idleInterval(),
                settings.bufferBytes(),
                settings.batchBytes());
    }

    private static UniformRandomProvider newRandom() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create();
    }
}
