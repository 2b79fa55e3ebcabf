package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.error.ErrorCode;

/** Registry of the requests in progress. Thread-safe; makes no blocking call while it holds its monitor. */
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

    /** Starts a request and returns at once; its answer is sent to {@code sink}. */
    public RequestLifecycle accept(CallerRequest request, AnswerSink sink) {
        RequestLifecycle lifecycle = RequestLifecycle.of(components, request, sink);
        boolean stopping;
        boolean full;
        synchronized (this) {
            stopping = draining;
            full = active.size() >= components.settings().maxRequests();
            active.add(lifecycle);
        }
        lifecycle.completion().whenComplete((result, failure) -> remove(lifecycle));
        if (stopping) {
            lifecycle.refuse(ErrorCode.DRAINING, "this entry is shutting down");
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

    /** Waits until no request is in progress; returns false if the timeout expires first. */
    public synchronized boolean awaitIdle(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!active.isEmpty()) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
        }
        return true;
    }

    /** Fails the attempts on a sidecar that no longer responds; idempotent requests are then retried elsewhere. */
    public void onUnreachable(String instance) {
        snapshot().forEach(lifecycle -> lifecycle.onUnreachable(instance));
    }

    /** Terminates all requests in progress and reports to each caller whether its request may have run. */
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
