package org.masticcroft.experiments.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.error.ErrorCode;

/** Engine that browns out, refuses beyond its queue, and fails while it receives more attempts than it can refuse. */
final class RetriedEngine {
    /** Attempts per second, accepted or not, beyond which every attempt fails: about six times the usual load. */
    private static final int MAX_ATTEMPTS_PER_SECOND = 20;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long FAILURE_NANOS = 50_000_000L;
    private static final int QUEUE = 4;

    private final EngineFake engine;
    private final EventLoop loop;
    private final Deque<Long> attempts = new ArrayDeque<>();
    private boolean failing;
    private long sequence;

    RetriedEngine(String name, EventLoop loop) {
        this.engine = EngineFake.of(name, Deployment.SLOTS, loop);
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

    void slowDown(double factor) {
        engine.slowDown(factor);
    }

    /** Starts an attempt; the result is empty if it succeeds, else the code of the failure. */
    void start(TraceRequest request, long timeoutNanos, Consumer<Optional<ErrorCode>> onResult) {
        attempts.addLast(loop.now());
        while (attempts.getFirst() <= loop.now() - SECOND_NANOS) {
            attempts.removeFirst();
        }
        if (failing || attempts.size() > MAX_ATTEMPTS_PER_SECOND) {
            loop.after(FAILURE_NANOS, () -> onResult.accept(Optional.of(ErrorCode.UPSTREAM_FAILED)));
            return;
        }
        if (engine.inFlight() >= engine.slots() + QUEUE) {
            loop.after(FAILURE_NANOS, () -> onResult.accept(Optional.of(ErrorCode.BUSY)));
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
        boolean[] started = {false};
        engine.start(attempt, 0, new EngineFake.Listener() {
            @Override
            public void onFirstToken() {
                started[0] = true;
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
        loop.after(timeoutNanos, () -> {
            if (!started[0] && engine.isRunning(id)) {
                engine.cancel(id);
                onResult.accept(Optional.of(ErrorCode.UPSTREAM_FAILED));
            }
        });
    }
}
