package org.masticcroft.experiments.serving;

import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.error.ErrorCode;

/** Progress and outcome of one replayed request. Times are monotonic nanoseconds; -1 means not yet. */
final class RequestResult {
    static final long NOT_YET = -1;

    private final TraceRequest request;
    private final long arrivalNanos;
    private long firstTokenNanos = NOT_YET;
    private long endNanos = NOT_YET;
    private long refusedNanos = NOT_YET;
    private ErrorCode refusal;
    private int deliveredTokens;
    private int interruptions;
    private int maxLostTokens;
    private boolean promptCharged;

    RequestResult(TraceRequest request, long arrivalNanos) {
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
        return refusedNanos != NOT_YET;
    }

    boolean isFinished() {
        return endNanos != NOT_YET;
    }

    boolean hasFirstToken() {
        return firstTokenNanos != NOT_YET;
    }

    ErrorCode refusal() {
        return refusal;
    }

    int deliveredTokens() {
        return deliveredTokens;
    }

    int interruptions() {
        return interruptions;
    }

    /** Returns the largest number of tokens lost in one interruption. */
    int maxLostTokens() {
        return maxLostTokens;
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
        if (firstTokenNanos == NOT_YET) {
            firstTokenNanos = nowNanos;
        }
    }

    void onEnd(int tokens, long nowNanos) {
        deliveredTokens += tokens;
        endNanos = nowNanos;
    }

    void onRefused(ErrorCode code, long nowNanos) {
        refusal = code;
        refusedNanos = nowNanos;
    }

    /** Records an interruption; tokens after the last complete chunk did not reach the caller. */
    void onInterrupted(int producedTokens, int chunkTokens) {
        int keptTokens = producedTokens / chunkTokens * chunkTokens;
        deliveredTokens += keptTokens;
        interruptions++;
        maxLostTokens = Math.max(maxLostTokens, producedTokens - keptTokens);
    }

    /** Returns the prompt tokens on the first call and 0 afterwards, so that they are charged once. */
    int takeUnchargedPromptTokens() {
        int tokens = promptCharged ? 0 : request.promptTokens();
        promptCharged = true;
        return tokens;
    }
}
