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
import org.masticcroft.sidecar.target.WeightsUse;
import org.masticcroft.wire.PeerClient;

/**
 * Builds a {@link SidecarRole}. The binary binds {@code TimeSource}, {@code LogService}, {@code InstanceList}, {@code
 * ConfigView}, {@code AccountWriter}, {@code PeerClient}, {@code MetricRegistry} and {@code UniformRandomProvider}.
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

    /** Creates a module that finds the planners by name in the plug-in registry. */
    public static SidecarModule of(SidecarSettings settings) {
        return new SidecarModule(
                Objects.requireNonNull(settings, "settings"),
                name -> PluginRegistry.of(FetchPlanner.class).require(name),
                Optional.empty());
    }

    /** Returns a module with given planners instead of registered ones. */
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
    Drain drain(ConfigView config) {
        return new Drain(config, settings.upstream().id());
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
    WeightsUse weightsUse() {
        return WeightsUse.empty();
    }

    @Provides
    @Singleton
    Wakeup wakeup() {
        return new Wakeup();
    }

    @Provides
    @Singleton
    Optional<WeightsSide> weights(WeightsAssembly assembly) {
        return settings.upstream().kind() == Instance.Kind.ENGINE ? Optional.of(assembly.build()) : Optional.empty();
    }

    @Provides
    WeightsAssembly weightsAssembly(Shared shared, HttpClient client, EngineClient engine, WeightsUse use) {
        return new WeightsAssembly(
                settings,
                shared,
                client,
                engine,
                use,
                placementPlanner.orElseGet(
                        () -> PluginRegistry.of(PlacementPlanner.class).require(PLACEMENT_PLANNER)),
                fetchPlanners);
    }

    @Provides
    Shared shared(
            TimeSource time,
            LogService log,
            InstanceList instances,
            ConfigView config,
            AccountWriter account,
            PeerClient peers,
            MetricRegistry metrics,
            UniformRandomProvider random,
            Local local) {
        return new Shared(time, log, instances, config, account, peers, metrics, random, local);
    }

    @Provides
    Local local(SidecarThreads threads, Wakeup wakeup) {
        return new Local(threads, wakeup);
    }

    @Provides
    @Singleton
    UpstreamConnector connector(
            Optional<WeightsSide> weights, EngineClient engine, HttpServiceClient service, WeightsUse use) {
        return weights.<UpstreamConnector>map(side -> EngineConnector.of(engine, side.monitor(), use))
                .orElseGet(() -> ServiceConnector.of(service, settings.limits().serviceSlots()));
    }

    @Provides
    @Singleton
    Dispatcher dispatcher(UpstreamConnector connector, Drain drain, Shared shared) {
        SidecarThreads threads = shared.local().threads();
        Dispatcher dispatcher = new Dispatcher(
                settings.upstream().id(),
                connector,
                drain::isDraining,
                new Dispatcher.Bounds(
                        settings.limits().maxSlots(), settings.limits().queueLimit()),
                DispatchRecorder.of(settings.upstream().id(), shared.account(), shared.time(), shared.metrics()),
                new Dispatcher.Executors(threads.requests(), threads.control()),
                shared.time());
        shared.metrics().gauge("sidecar.dispatch.running", () ->
                (Gauge<Integer>) () -> dispatcher.load().getInFlight());
        shared.metrics().gauge("sidecar.dispatch.waiting", () ->
                (Gauge<Integer>) () -> dispatcher.load().getQueued());
        return dispatcher;
    }

    @Provides
    @Singleton
    @Exposed
    SidecarRole role(
            Dispatcher dispatcher,
            Optional<WeightsSide> weights,
            HttpServiceClient service,
            Drain drain,
            Shared shared) {
        StatusReporter status = StatusReporter.of(settings, shared.config(), dispatcher::load, weights);
        SidecarPeerHandler handler = new SidecarPeerHandler(dispatcher, status, weights.map(WeightsSide::uploads));
        SidecarRole role = new SidecarRole(
                settings,
                shared.config(),
                dispatcher,
                weights,
                service::acceptsConnections,
                handler,
                LeavingNotifier.of(
                        shared.instances(),
                        shared.peers(),
                        settings.identity().instance(),
                        settings.upstream().id()),
                drain,
                shared.local().threads());
        shared.local().wakeup().target(role::reconcileSoon);
        return role;
    }

    /** The objects that the binary shares with the sidecar, and those of the sidecar itself. */
    record Shared(
            TimeSource time,
            LogService log,
            InstanceList instances,
            ConfigView config,
            AccountWriter account,
            PeerClient peers,
            MetricRegistry metrics,
            UniformRandomProvider random,
            Local local) {}

    /** Threads, and the signal that starts a reconciliation. */
    record Local(SidecarThreads threads, Wakeup wakeup) {}
}
