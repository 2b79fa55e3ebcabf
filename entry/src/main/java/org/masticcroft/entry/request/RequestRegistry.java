package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.error.ErrorCode;

/** Registry of the requests in progress. Guarded by its own monitor; calls nothing that blocks while locked. */
public final class RequestRegistry {
    private final EntryComponents components;
    private final Set<RequestLifecycle> active = new HashSet<>();
    private boolean draining;

    private RequestRegistry(EntryComponents components) {
        this.components = components;
        components.metrics().gauge("entry.active", () -> this::active);
        components.metrics().gauge("entry.waiting", () -> components.gate()::waiting);
    }

    /** Creates an empty registry. */
    public static RequestRegistry of(EntryComponents components) {
        return new RequestRegistry(Objects.requireNonNull(components, "components"));
    }

    /** Starts a request and returns at once; the answer goes to {@code sink}. */
    public RequestLifecycle accept(CallerRequest request, AnswerSink sink) {
        RequestLifecycle lifecycle = RequestLifecycle.of(components, request, sink);
        boolean refused;
        boolean full;
        synchronized (this) {
            refused = draining;
            full = active.size() >= components.settings().maxRequests();
            active.add(lifecycle);
        }
        lifecycle.completion().whenComplete((result, failure) -> remove(lifecycle));
        if (refused) {
            lifecycle.refuse(ErrorCode.DRAINING, "this entry is about to stop");
        } else if (full) {
            lifecycle.refuse(ErrorCode.BUSY, "too many requests are in progress");
        } else {
            lifecycle.start();
        }
        return lifecycle;
    }

    /** Returns the number of requests in progress. */
    public synchronized int active() {
        return active.size();
    }

    /** Refuses new requests from now on. */
    public synchronized void drain() {
        draining = true;
    }

    public synchronized boolean isDraining() {
        return draining;
    }

    /** Waits until no request is in progress; returns whether that happened in time. */
    public synchronized boolean awaitIdle(Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!active.isEmpty()) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
        return true;
    }

    /** Notes that a sidecar does not answer any more; its idempotent requests go elsewhere. */
    public void onUnreachable(String instance) {
        snapshot().forEach(lifecycle -> lifecycle.onUnreachable(instance));
    }

    /** Ends all requests in progress with their true verdict. */
    public void terminateAll() {
        snapshot().forEach(RequestLifecycle::terminate);
    }

    private synchronized List<RequestLifecycle> snapshot() {
        return List.copyOf(active);
    }

    private synchronized void remove(RequestLifecycle lifecycle) {
        active.remove(lifecycle);
        notifyAll();
    }
}
