package org.masticcroft.gateway.weights;

import java.time.Duration;

/** Limits concurrent read-backs of staged pieces, so that all pieces are read within a given time. */
final class ReadBackLimit {
    /** Read-backs at a time from an engine that answers quickly; the calls do not leave the machine. */
    private static final int MIN_CALLS = 3;

    /** Maximum number of concurrent read-backs; each holds a connection to the engine. */
    private static final int MAX_CALLS = 24;

    /** Duration of a call from which on more concurrent calls slow each other down; well below their timeout. */
    private static final Duration CONGESTED_CALL = Duration.ofMillis(400);

    private final int pieceCount;
    private final Duration target;
    private int limit = MIN_CALLS;
    private Duration lastCall = Duration.ZERO;

    /**
     * Creates the limit for an engine whose speed is not known yet.
     *
     * @param pieceCount number of pieces
     * @param target time in which all pieces are to be read
     */
    ReadBackLimit(int pieceCount, Duration target) {
        this.pieceCount = pieceCount;
        this.target = target;
    }

    /** Records how long a call took. */
    void record(Duration call) {
        lastCall = call;
        double needed = Math.ceil((double) pieceCount * call.toNanos() / target.toNanos());
        if (call.compareTo(CONGESTED_CALL) > 0) {
            limit = Math.max(MIN_CALLS, limit / 2);
        } else if (limit < needed) {
            limit = Math.min(MAX_CALLS, limit + 1);
        } else {
            limit = Math.max(MIN_CALLS, limit - 1);
        }
    }

    /** Returns how long a number of calls takes if each takes as long as the last one. */
    Duration timeFor(int calls) {
        return lastCall.multipliedBy(calls).dividedBy(limit);
    }

    int value() {
        return limit;
    }
}
