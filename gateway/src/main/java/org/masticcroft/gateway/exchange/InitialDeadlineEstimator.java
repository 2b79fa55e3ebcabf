package org.masticcroft.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the deadline that the callers of a route state when they send a request for the first time, as the most
 * frequent deadline. A caller that retries after a refusal states the remaining time, so the difference shows how long
 * it has been waiting.
 */
public final class InitialDeadlineEstimator {
    /** Width of a bucket; callers state whole milliseconds, which vary with the time that a request takes to arrive. */
    private static final long BUCKET_MILLIS = 100;

    /** Total count at which all counts are halved, so that the estimate follows a change of the deadline. */
    private static final int MAX_COUNT = 200;

    private final Map<Long, Integer> counts = new HashMap<>();
    private int totalCount;

    private InitialDeadlineEstimator() {}

    /** Creates an estimator without any recorded deadline. */
    public static InitialDeadlineEstimator empty() {
        return new InitialDeadlineEstimator();
    }

    /**
     * Records the deadline of a request and estimates how long its caller has been waiting already.
     *
     * @param deadline remaining time that the caller states
     * @return estimated wait before the arrival of the request; zero if the deadline is not below the initial one
     */
    public Duration recordAndEstimateWait(Duration deadline) {
        counts.merge(bucketOf(deadline), 1, Integer::sum);
        totalCount++;
        if (totalCount >= MAX_COUNT) {
            halve();
        }
        long initialBucket = mostFrequentBucket();
        return initialBucket <= bucketOf(deadline)
                ? Duration.ZERO
                : Duration.ofMillis(initialBucket * BUCKET_MILLIS).minus(deadline);
    }

    private long mostFrequentBucket() {
        return counts.entrySet().stream()
                .max(Map.Entry.<Long, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(0L);
    }

    private void halve() {
        counts.replaceAll((bucket, count) -> count / 2);
        counts.values().removeIf(count -> count == 0);
        totalCount = counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static long bucketOf(Duration deadline) {
        return deadline.toMillis() / BUCKET_MILLIS;
    }
}
