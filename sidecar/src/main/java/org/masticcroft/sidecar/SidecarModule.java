package org.masticcroft.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Exposed;
import com.google.inject.PrivateModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.engine.HttpEngineClient;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.service.HttpServiceClient;
import org.masticcroft.sidecar.dispatch.DispatchRecorder;
import org.masticcroft.sidecar.dispatch.Dispatcher;
import org.masticcroft.sidecar.dispatch.EngineConnector;
import org.masticcroft.sidecar.dispatch.ServiceConnector;
import org.masticcroft.sidecar.dispatch.UpstreamConnector;
import org.masticcroft.sidecar.status.LeavingNotifier;
import org.masticcroft.sidecar.status.StatusReporter;
import org.masticcroft.sidecar.target.WeightsUsageTracker;
import org.masticcroft.wire.PeerClient;

/**
 * Guice module that provides the {@link SidecarRole}. The process that installs it must bind {@code TimeSource}, {@code
 * LogService}, {@code InstanceList}, {@code ConfigView}, {@code AccountWriter}, {@code PeerClient}, {@code
 * MetricRegistry} and {@code UniformRandomProvider}.
 */
public final class SidecarModule extends PrivateModule {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final String PLACEMENT_PLANNER = "side-by-side";

    private final SidecarSettings settings;
    private final Function<String, FetchPlanner> fetchPlanners;
    private final Optional<PlacementPlanner> placementPlanner;

    private SidecarModule(
            SidecarSettings settings,
            Function<String, FetchPlanner> fetchPlanners,
            Optional<PlacementPlanner> placementPlanner) {
        this.settings = settings;
        this.fetchPlanners = fetchPlanners;
        this.placementPlanner = placementPlanner;
    }

    /** Creates a module that looks up the planners by name in the plug-in registry. */
    public static SidecarModule of(SidecarSettings settings) {
        return new SidecarModule(
                Objects.requireNonNull(settings, "settings"),
                name -> PluginRegistry.of(FetchPlanner.class).require(name),
                Optional.empty());
    }

    /** Returns a module that uses these planners instead of registered ones. */
    SidecarModule withPlanners(PlacementPlanner placement, FetchPlanner fetch) {
        return new SidecarModule(settings, name -> fetch, Optional.of(placement));
    }

    @Override
    protected void configure() {}

    @Provides
    @Singleton
    SidecarThreads threads() {
        return new SidecarThreads(settings.limits());
    }

    @Provides
    @Singleton
    HttpClient httpClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build();
    }

    @Provides
    @Singleton
    DrainState drain(ConfigView config) {
        return new DrainState(config, settings.upstream().id());
    }

    @Provides
    @Singleton
    EngineClient engine(HttpClient client) {
        return HttpEngineClient.of(client, settings.upstream().baseUrl());
    }

    @Provides
    @Singleton
    HttpServiceClient service(HttpClient client) {
        return HttpServiceClient.of(client, settings.upstream().baseUrl());
    }

    @Provides
    @Singleton
    WeightsUsageTracker weightsUsage() {
        return WeightsUsageTracker.empty();
    }

    @Provides
    @Singleton
    ReconcileTrigger reconcileTrigger() {
        return new ReconcileTrigger();
    }

    @Provides
    @Singleton
    Optional<WeightsComponents> weights(WeightsComponentsFactory factory) {
        return settings.upstream().kind() == Instance.Kind.ENGINE ? Optional.of(factory.create()) : Optional.empty();
    }

    @Provides
    WeightsComponentsFactory weightsComponentsFactory(
            Dependencies dependencies, HttpClient client, EngineClient engine, WeightsUsageTracker weightsUsage) {
        return new WeightsComponentsFactory(
                settings,
                dependencies,
                client,
                engine,
                weightsUsage,
                placementPlanner.orElseGet(
                        () -> PluginRegistry.of(PlacementPlanner.class).require(PLACEMENT_PLANNER)),
                fetchPlanners);
    }

    @Provides
    Dependencies dependencies(
            TimeSource time,
            LogService log,
            InstanceList instances,
            ConfigView config,
            AccountWriter account,
            PeerClient peers,
            MetricRegistry metrics,
            UniformRandomProvider random,
            Background background) {
        return new Dependencies(time, log, instances, config, account, peers, metrics, random, background);
    }

    @Provides
    Background background(SidecarThreads threads, ReconcileTrigger reconcileTrigger) {
        return new Background(threads, reconcileTrigger);
    }

    @Provides
    @Singleton
    UpstreamConnector connector(
            Optional<WeightsComponents> weights,
            EngineClient engine,
            HttpServiceClient service,
            WeightsUsageTracker weightsUsage) {
        return weights.<UpstreamConnector>map(
                        components -> EngineConnector.of(engine, components.monitor(), weightsUsage))
                .orElseGet(() -> ServiceConnector.of(service, settings.limits().serviceSlots()));
    }

    @Provides
    @Singleton
    Dispatcher dispatcher(UpstreamConnector connector, DrainState drain, Dependencies dependencies) {
        SidecarThreads threads = dependencies.background().threads();
        Dispatcher dispatcher = new Dispatcher(
                settings.upstream().id(),
                connector,
                drain::isDraining,
                new Dispatcher.Bounds(
                        settings.limits().maxSlots(), settings.limits().queueLimit()),
                DispatchRecorder.of(
                        settings.upstream().id(), dependencies.account(), dependencies.time(), dependencies.metrics()),
                new Dispatcher.Executors(threads.requests(), threads.control()),
                dependencies.time());
        dependencies.metrics().gauge("sidecar.dispatch.running", () ->
                (Gauge<Integer>) () -> dispatcher.load().getInFlight());
        dependencies.metrics().gauge("sidecar.dispatch.waiting", () ->
                (Gauge<Integer>) () -> dispatcher.load().getQueued());
        return dispatcher;
    }

    @Provides
    @Singleton
    @Exposed
    SidecarRole role(
            Dispatcher dispatcher,
            Optional<WeightsComponents> weights,
            HttpServiceClient service,
            DrainState drain,
            Dependencies dependencies) {
        StatusReporter status = StatusReporter.of(settings, dependencies.config(), dispatcher::load, weights);
        SidecarPeerHandler handler =
                new SidecarPeerHandler(dispatcher, status, weights.map(WeightsComponents::uploads));
        SidecarRole role = new SidecarRole(
                settings,
                dependencies.config(),
                dispatcher,
                weights,
                service::acceptsConnections,
                handler,
                LeavingNotifier.of(
                        dependencies.instances(),
                        dependencies.peers(),
                        settings.identity().instance(),
                        settings.upstream().id()),
                drain,
                dependencies.background().threads());
        dependencies.background().reconcileTrigger().bind(role::triggerReconcile);
        return role;
    }

    /** The dependencies that the process binds, and the background execution of the sidecar. */
    record Dependencies(
            TimeSource time,
            LogService log,
            InstanceList instances,
            ConfigView config,
            AccountWriter account,
            PeerClient peers,
            MetricRegistry metrics,
            UniformRandomProvider random,
            Background background) {}

    /** The thread pools, and the trigger of a reconciliation outside its interval. */
    record Background(SidecarThreads threads, ReconcileTrigger reconcileTrigger) {}
}
