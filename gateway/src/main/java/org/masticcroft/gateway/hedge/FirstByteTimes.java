package org.masticcroft.gateway.hedge;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** The recent times to the first byte of the requests of one route at one service, in a buffer of fixed size. */
final class FirstByteTimes {
    /** Number of times that are kept; 5 % of them are enough for a 95th percentile that one response does not move. */
    private static final int CAPACITY = 256;

    /** Number of recent times below which nothing is derived from them. */
    private static final int MIN_SAMPLES = 40;

    /** Age from which a time no longer counts; the load of a service changes within tens of seconds. */
    private static final Duration MAX_AGE = Duration.ofSeconds(30);

    /** Number of longer times below which their mean is not used to predict the rest of a wait. */
    private static final int MIN_LONGER_SAMPLES = 3;

    private final long[] times = new long[CAPACITY];
    private final long[] recordedNanos = new long[CAPACITY];
    private int next;
    private int count;

    void record(Duration timeToFirstByte, long nowNanos) {
        times[next] = timeToFirstByte.toNanos();
        recordedNanos[next] = nowNanos;
        next = (next + 1) % CAPACITY;
        count = Math.min(CAPACITY, count + 1);
    }

    /** Returns a quantile of the recent times; empty if there are too few. */
    Optional<Duration> quantile(double fraction, long nowNanos) {
        long[] recent = recent(nowNanos);
        if (recent.length < MIN_SAMPLES) {
            return Optional.empty();
        }
        int index = (int) Math.ceil(fraction * recent.length) - 1;
        return Optional.of(Duration.ofNanos(recent[Math.max(0, index)]));
    }

    /**
     * Returns how much longer a request is expected to wait that has waited for some time: the mean rest of the recent
     * times that were longer. If hardly any was longer, the request waits for an upstream that is slower than usual,
     * and is expected to wait as long again.
     */
    Duration expectedRest(Duration waited, long nowNanos) {
        long waitedNanos = waited.toNanos();
        long[] longer = Arrays.stream(recent(nowNanos))
                .filter(nanos -> nanos > waitedNanos)
                .toArray();
        if (longer.length < MIN_LONGER_SAMPLES) {
            return waited;
        }
        return Duration.ofNanos((long) Arrays.stream(longer).average().orElseThrow() - waitedNanos);
    }

    /** Returns the recent times in ascending order. */
    private long[] recent(long nowNanos) {
        long[] recent = new long[count];
        int size = 0;
        for (int i = 0; i < count; i++) {
            if (nowNanos - recordedNanos[i] <= MAX_AGE.toNanos()) {
                recent[size++] = times[i];
            }
        }
        long[] sorted = Arrays.copyOf(recent, size);
        Arrays.sort(sorted);
        return sorted;
    }
}
