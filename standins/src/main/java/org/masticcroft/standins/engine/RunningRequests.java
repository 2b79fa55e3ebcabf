package org.masticcroft.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The cancellation signals of all waiting and running requests, by request id. */
final class RunningRequests {
    private final Map<String, List<CancelSignal>> signals = new HashMap<>();

    private RunningRequests() {}

    static RunningRequests empty() {
        return new RunningRequests();
    }

    /**
     * Adds a request. Several requests may share an id, because a retry may arrive before the first attempt has ended.
     */
    synchronized CancelSignal add(String requestId) {
        CancelSignal signal = CancelSignal.create();
        signals.computeIfAbsent(requestId, key -> new ArrayList<>()).add(signal);
        return signal;
    }

    synchronized void remove(String requestId, CancelSignal signal) {
        signals.computeIfPresent(requestId, (key, list) -> {
            list.remove(signal);
            return list.isEmpty() ? null : list;
        });
    }

    /** Cancels all requests with an id and returns whether there was one. */
    boolean cancel(String requestId) {
        List<CancelSignal> found;
        synchronized (this) {
            found = List.copyOf(signals.getOrDefault(requestId, List.of()));
        }
        // Cancels outside the lock, because cancelling takes the lock of the slot queue.
        found.forEach(CancelSignal::cancel);
        return !found.isEmpty();
    }
}
