package org.masticcroft.experiments.serving;

import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.error.ErrorCode;

/** What happened to one request of a serving replay. Times are monotonic nanoseconds; -1 means not yet. */
final class Served {
    static final long NEVER = -1;

    private final TraceRequest request;
    private final long arrivalNanos;
    private long firstTokenNanos = NEVER;
    private long endNanos = NEVER;
    private long refusedNanos = NEVER;
    private ErrorCode refusal;
    private int delivered;
    private int interruptions;
    private int worstLoss;
    private boolean promptCharged;

    Served(TraceRequest request, long arrivalNanos) {
        this.request = request;
        this.arrivalNanos = arrivalNanos;
    }

    TraceRequest request() {
        return request;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    boolean isRefused() {
        return refusedNanos != NEVER;
    }

    boolean isFinished() {
        return endNanos != NEVER;
    }

    boolean hasFirstToken() {
        return firstTokenNanos != NEVER;
    }

    ErrorCode refusal() {
        return refusal;
    }

    int delivered() {
        return delivered;
    }

    int interruptions() {
        return interruptions;
    }

    /** Returns the largest number of tokens that one interruption lost. */
    int worstLoss() {
        return worstLoss;
    }

    double firstTokenMillis() {
        return (firstTokenNanos - arrivalNanos) / 1e6;
    }

    double endMillis() {
        return endNanos / 1e6;
    }

    double refusalMillis() {
        return (refusedNanos - arrivalNanos) / 1e6;
    }

    void onFirstToken(long nowNanos) {
        if (firstTokenNanos == NEVER) {
            firstTokenNanos = nowNanos;
        }
    }

    void onEnd(int tokens, long nowNanos) {
        delivered += tokens;
        endNanos = nowNanos;
    }

    void onRefused(ErrorCode code, long nowNanos) {
        refusal = code;
        refusedNanos = nowNanos;
    }

    /** Records an interruption; tokens after the last complete chunk did not reach the caller. */
    void onInterrupted(int produced, int chunkTokens) {
        int kept = produced / chunkTokens * chunkTokens;
        delivered += kept;
        interruptions++;
        worstLoss = Math.max(worstLoss, produced - kept);
    }

    /** Returns the length of the prompt at the first call, then 0. */
    int takePromptTokens() {
        int tokens = promptCharged ? 0 : request.promptTokens();
        promptCharged = true;
        return tokens;
    }
}
