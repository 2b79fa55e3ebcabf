package org.masticcroft.entry;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.masticcroft.entry.http.CallerApi;
import org.masticcroft.entry.http.StatusApi;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.ClaimLogThreads;
import org.masticcroft.entry.peer.EntryPeerHandler;
import org.masticcroft.entry.peer.StatusPoller;
import org.masticcroft.entry.request.EntryComponents;
import org.masticcroft.entry.request.RequestRegistry;
import org.masticcroft.entry.task.Workers;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.lifecycle.Role;
import org.masticcroft.wire.PeerHandler;

/** Role of a process that admits requests of callers and routes them to upstreams. */
@Singleton
public final class EntryRole implements Role {
    private static final Duration TIMER_INTERVAL = Duration.ofMillis(5);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(10);

    /** Time to send the last answers and write the last outcomes after the drain deadline. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private static final int SCHEDULER_THREADS = 2;

    private final EntryComponents components;
    private final RequestRegistry requests;
    private final ClaimLog claims;
    private final StatusPoller poller;
    private final ExecutorService workers;
    private final CallerApi callerApi;
    private final StatusApi statusApi;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(
            SCHEDULER_THREADS,
            new ThreadFactoryBuilder()
                    .setNameFormat("entry-timer-%d")
                    .setDaemon(true)
                    .build());
    private Optional<ClaimLogThreads> claimLogThreads = Optional.empty();

    @Inject
    EntryRole(
            EntryComponents components,
            RequestRegistry requests,
            ClaimLog claims,
            StatusPoller poller,
            @Workers ExecutorService workers,
            CallerApi callerApi,
            StatusApi statusApi) {
        this.components = Objects.requireNonNull(components, "components");
        this.requests = Objects.requireNonNull(requests, "requests");
        this.claims = Objects.requireNonNull(claims, "claims");
        this.poller = Objects.requireNonNull(poller, "poller");
        this.workers = Objects.requireNonNull(workers, "workers");
        this.callerApi = Objects.requireNonNull(callerApi, "callerApi");
        this.statusApi = Objects.requireNonNull(statusApi, "statusApi");
    }

    /** Returns the JAX-RS resources for the HTTP port of callers. */
    public List<Object> resources() {
        return List.of(callerApi);
    }

    /** Returns the JAX-RS resources for the admin port. */
    public List<Object> adminResources() {
        return List.of(statusApi);
    }

    /**
     * Returns the handler for the peer server.
     *
     * @param next handles the requests that do not concern the entry role
     */
    public PeerHandler peerHandler(PeerHandler next) {
        return EntryPeerHandler.of(
                components.settings(),
                components.config(),
                components.versions(),
                components.upstreams(),
                components.suspects(),
                components.outcomes(),
                next);
    }

    @Override
    public synchronized void start() {
        scheduleRepeatedly(TIMER_INTERVAL, components.timers()::runDue);
        scheduleRepeatedly(StatusPoller.INTERVAL, poller::poll);
        claimLogThreads = Optional.of(ClaimLogThreads.start(claims));
    }

    @Override
    public boolean ready() {
        return !requests.isDraining() && components.config().available();
    }

    @Override
    public void beginDrain() {
        requests.drain();
    }

    @Override
    public boolean awaitDrained(Duration deadline) {
        long deadlineNanos = System.nanoTime() + deadline.toNanos();
        try {
            if (!requests.awaitIdle(deadline)) {
                return false;
            }
            while (claims.unwrittenCount() > 0 && System.nanoTime() < deadlineNanos) {
                TimeUnit.NANOSECONDS.sleep(DRAIN_POLL_INTERVAL.toNanos());
            }
            return claims.unwrittenCount() == 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public synchronized void close() {
        beginDrain();
        requests.terminateAll();
        awaitDrained(CLOSE_TIMEOUT);
        claimLogThreads.ifPresent(ClaimLogThreads::close);
        scheduler.shutdownNow();
        workers.shutdown();
    }

    private void scheduleRepeatedly(Duration interval, Runnable task) {
        scheduler.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        EventLog.error(Event.INTERNAL_ERROR, e, "where", "scheduler");
                    }
                },
                0,
                interval.toNanos(),
                TimeUnit.NANOSECONDS);
    }
}
