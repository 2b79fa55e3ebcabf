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

/** The process beside one upstream. */
public final class SidecarRole implements Role {
    /** Interval of the comparison of the engine with the configuration (design 5.5). */
    static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(2);

    /** A reconciliation may wait for a load; the state for dispatches must not grow old meanwhile. */
    private static final Duration STATE_INTERVAL = Duration.ofSeconds(1);

    private static final Duration FETCH_INTERVAL = Duration.ofMillis(100);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
    private static final Duration DRAIN_POLL = Duration.ofMillis(20);

    private final SidecarSettings settings;
    private final ConfigView config;
    private final Dispatcher dispatcher;
    private final Optional<WeightsSide> weights;
    private final BooleanSupplier serviceCheck;
    private final SidecarPeerHandler handler;
    private final LeavingNotifier notifier;
    private final Drain drain;
    private final SidecarThreads threads;
    private final AtomicLong reconciledVersion = new AtomicLong(-1);
    private volatile boolean serviceAnswers;
    private volatile PeerServer server;

    SidecarRole(
            SidecarSettings settings,
            ConfigView config,
            Dispatcher dispatcher,
            Optional<WeightsSide> weights,
            BooleanSupplier serviceCheck,
            SidecarPeerHandler handler,
            LeavingNotifier notifier,
            Drain drain,
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
        threads.every(SWEEP_INTERVAL, dispatcher::sweep);
        if (weights.isPresent()) {
            WeightsSide side = weights.get();
            threads.every(RECONCILE_INTERVAL, () -> reconcile(side));
            threads.every(STATE_INTERVAL, side.monitor()::refresh);
            threads.every(FETCH_INTERVAL, () -> fetch(side));
        } else {
            threads.every(RECONCILE_INTERVAL, () -> serviceAnswers = serviceCheck.getAsBoolean());
        }
    }

    @Override
    public boolean ready() {
        boolean upstreamReady = weights.map(side -> side.reconciler().ready()).orElse(serviceAnswers);
        return server != null && upstreamReady && !drain.isDraining();
    }

    @Override
    public void beginDrain() {
        if (drain.begin()) {
            weights.ifPresent(side -> side.fetcher().stop("draining"));
            notifier.send();
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
                TimeUnit.NANOSECONDS.sleep(DRAIN_POLL.toNanos());
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

    /** Reconciles now, for example because the last chunk was staged. */
    void reconcileSoon() {
        weights.ifPresent(side -> threads.soon(() -> reconcile(side)));
    }

    private void reconcile(WeightsSide side) {
        reconciledVersion.set(config.state().version());
        if (!drain.isStopping()) {
            side.reconciler().run();
        }
    }

    private void fetch(WeightsSide side) {
        if (drain.isStopping()) {
            return;
        }
        if (reconciledVersion.get() != config.state().version()) {
            reconcileSoon();
        }
        side.fetcher().pump();
    }

    private boolean isIdle() {
        return dispatcher.unfinishedCount() == 0
                && weights.map(side -> side.uploads().inProgress()).orElse(0) == 0;
    }
}
