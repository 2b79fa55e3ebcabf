package org.masticcroft.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.lifecycle.Role;
import org.masticcroft.ports.config.ConfigPeerHandler;
import org.masticcroft.sidecar.dispatch.Dispatcher;
import org.masticcroft.sidecar.status.LeavingNotifier;
import org.masticcroft.wire.PeerServer;

/** The sidecar: keeps the weights of one upstream up to date and passes requests on to it. */
public final class SidecarRole implements Role {
    /** Interval at which the engine is reconciled with the configuration (design 5.5). */
    static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(2);

    /**
     * Polled apart from reconciliation, which may block on a load while dispatches need a recent state of the engine.
     */
    private static final Duration ENGINE_STATE_INTERVAL = Duration.ofSeconds(1);

    private static final Duration FETCH_INTERVAL = Duration.ofMillis(100);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

    private final SidecarSettings settings;
    private final ConfigView config;
    private final Dispatcher dispatcher;
    private final Optional<WeightsComponents> weights;
    private final BooleanSupplier serviceCheck;
    private final SidecarPeerHandler handler;
    private final LeavingNotifier notifier;
    private final DrainState drain;
    private final SidecarThreads threads;
    private final AtomicLong reconciledVersion = new AtomicLong(-1);
    private volatile boolean serviceReachable;
    private volatile PeerServer server;

    SidecarRole(
            SidecarSettings settings,
            ConfigView config,
            Dispatcher dispatcher,
            Optional<WeightsComponents> weights,
            BooleanSupplier serviceCheck,
            SidecarPeerHandler handler,
            LeavingNotifier notifier,
            DrainState drain,
            SidecarThreads threads) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.config = Objects.requireNonNull(config, "config");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.weights = Objects.requireNonNull(weights, "weights");
        this.serviceCheck = Objects.requireNonNull(serviceCheck, "serviceCheck");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.notifier = Objects.requireNonNull(notifier, "notifier");
        this.drain = Objects.requireNonNull(drain, "drain");
        this.threads = Objects.requireNonNull(threads, "threads");
    }

    /** Returns the address on which the peer protocol is served; only after {@link #start}. */
    public InetSocketAddress peerAddress() {
        return Objects.requireNonNull(server, "not started").address();
    }

    @Override
    public void start() {
        server = PeerServer.of(
                settings.network().peerAddress(),
                () -> config.state().version(),
                ConfigPeerHandler.of(config, handler));
        threads.scheduleRepeatedly(SWEEP_INTERVAL, dispatcher::sweep);
        if (weights.isPresent()) {
            WeightsComponents components = weights.get();
            threads.scheduleRepeatedly(RECONCILE_INTERVAL, () -> reconcile(components));
            threads.scheduleRepeatedly(ENGINE_STATE_INTERVAL, components.monitor()::refresh);
            threads.scheduleRepeatedly(FETCH_INTERVAL, () -> fetch(components));
        } else {
            threads.scheduleRepeatedly(RECONCILE_INTERVAL, () -> serviceReachable = serviceCheck.getAsBoolean());
        }
    }

    @Override
    public boolean ready() {
        boolean upstreamReady =
                weights.map(components -> components.reconciler().ready()).orElse(serviceReachable);
        return server != null && upstreamReady && !drain.isDraining();
    }

    @Override
    public void beginDrain() {
        if (drain.begin()) {
            weights.ifPresent(components -> components.fetcher().stop("draining"));
            notifier.notifyEntries();
        }
    }

    @Override
    public boolean awaitDrained(Duration deadline) {
        long endNanos = System.nanoTime() + deadline.toNanos();
        while (!isIdle()) {
            if (System.nanoTime() - endNanos >= 0) {
                return false;
            }
            try {
                TimeUnit.NANOSECONDS.sleep(DRAIN_POLL_INTERVAL.toNanos());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        drain.begin();
        dispatcher.close();
        threads.close();
        if (server != null) {
            server.close();
        }
    }

    /** Reconciles in the background without waiting for the interval, for example after the last chunk was staged. */
    void triggerReconcile() {
        weights.ifPresent(components -> threads.submit(() -> reconcile(components)));
    }

    private void reconcile(WeightsComponents components) {
        reconciledVersion.set(config.state().version());
        if (!drain.isStopping()) {
            components.reconciler().run();
        }
    }

    private void fetch(WeightsComponents components) {
        if (drain.isStopping()) {
            return;
        }
        if (reconciledVersion.get() != config.state().version()) {
            triggerReconcile();
        }
        components.fetcher().scheduleTransfers();
    }

    private boolean isIdle() {
        return dispatcher.unfinishedCount() == 0
                && weights.map(components -> components.uploads().inProgress()).orElse(0) == 0;
    }
}
