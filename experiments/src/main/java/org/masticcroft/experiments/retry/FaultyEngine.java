package org.masticcroft.experiments.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * Fake engine that can fail or slow down. It refuses attempts when its queue is full, and fails every attempt while it
 * receives more than it can refuse.
 */
final class FaultyEngine {
    /** Attempts per second, accepted or not, beyond which every attempt fails: about six times the usual load. */
    private static final int MAX_ATTEMPTS_PER_SECOND = 20;

    private static final long RATE_WINDOW_NANOS = 1_000_000_000L;
    private static final long FAILURE_DELAY_NANOS = 50_000_000L;
    private static final int QUEUE_LIMIT = 4;

    private final FakeEngine engine;
    private final EventLoop loop;
    private final Deque<Long> recentAttempts = new ArrayDeque<>();
    private boolean failing;
    private long sequence;

    FaultyEngine(String name, EventLoop loop) {
        this.engine = FakeEngine.of(name, Deployment.SLOTS_PER_ENGINE, loop);
        this.loop = loop;
    }

    String name() {
        return engine.name();
    }

    int slots() {
        return engine.slots();
    }

    int inFlight() {
        return engine.inFlight();
    }

    void setFailing(boolean newFailing) {
        failing = newFailing;
    }

    void setSlowdown(double factor) {
        engine.setSlowdown(factor);
    }

    /** Starts an attempt; the result is empty if it succeeds, else the error code. */
    void start(TraceRequest request, long timeoutNanos, Consumer<Optional<ErrorCode>> onResult) {
        recentAttempts.addLast(loop.nowNanos());
        while (recentAttempts.getFirst() <= loop.nowNanos() - RATE_WINDOW_NANOS) {
            recentAttempts.removeFirst();
        }
        if (failing || recentAttempts.size() > MAX_ATTEMPTS_PER_SECOND) {
            loop.scheduleAfter(FAILURE_DELAY_NANOS, () -> onResult.accept(Optional.of(ErrorCode.UPSTREAM_FAILED)));
            return;
        }
        if (engine.inFlight() >= engine.slots() + QUEUE_LIMIT) {
            loop.scheduleAfter(FAILURE_DELAY_NANOS, () -> onResult.accept(Optional.of(ErrorCode.BUSY)));
            return;
        }
        run(request, timeoutNanos, onResult);
    }

    private void run(TraceRequest request, long timeoutNanos, Consumer<Optional<ErrorCode>> onResult) {
        String id = request.id() + "#" + sequence++;
        TraceRequest attempt = new TraceRequest(
                request.atMillis(),
                id,
                request.customer(),
                request.rank(),
                request.prefix(),
                request.promptTokens(),
                request.outputTokens(),
                request.maxTokens());
        boolean[] firstTokenReceived = {false};
        engine.start(attempt, 0, new FakeEngine.Listener() {
            @Override
            public void onFirstToken() {
                firstTokenReceived[0] = true;
            }

            @Override
            public void onEnd(int tokens) {
                onResult.accept(Optional.empty());
            }

            @Override
            public void onFailure() {
                onResult.accept(Optional.of(ErrorCode.UPSTREAM_CRASHED));
            }
        });
        loop.scheduleAfter(timeoutNanos, () -> {
            if (!firstTokenReceived[0] && engine.isRunning(id)) {
                engine.cancel(id);
                onResult.accept(Optional.of(ErrorCode.UPSTREAM_FAILED));
            }
        });
    }
}
