package org.masticcroft.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The time that the callers of a route state on their first attempt, learnt as the most frequent one. A caller that was
 * refused and comes back states what is left of it, which shows how long it has been waiting.
 */
public final class InitialDeadlineEstimator {
    /** Width of a class of deadlines; callers state whole milliseconds, which vary by the way to the entry. */
    private static final long CLASS_MILLIS = 100;

    /** Counted requests after which all counts are halved, so that a change of the usual deadline shows. */
    private static final int MOST_COUNTED = 200;

    private final Map<Long, Integer> counts = new HashMap<>();
    private int counted;

    private InitialDeadlineEstimator() {}

    /** Creates a state that knows no deadline. */
    public static InitialDeadlineEstimator empty() {
        return new InitialDeadlineEstimator();
    }

    /**
     * Records a deadline.
     *
     * @param deadline time that a caller states
     * @return how long the caller seems to have been waiting before; zero if it states the usual time or more
     */
    public Duration recordAndEstimateWait(Duration deadline) {
        counts.merge(classOf(deadline), 1, Integer::sum);
        counted++;
        if (counted >= MOST_COUNTED) {
            halve();
        }
        long usual = usualClass();
        return usual <= classOf(deadline)
                ? Duration.ZERO
                : Duration.ofMillis(usual * CLASS_MILLIS).minus(deadline);
    }

    private long usualClass() {
        return counts.entrySet().stream()
                .max(Map.Entry.<Long, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(0L);
    }

    private void halve() {
        counts.replaceAll((deadline, count) -> count / 2);
        counts.values().removeIf(count -> count == 0);
        counted = counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static long classOf(Duration deadline) {
        return deadline.toMillis() / CLASS_MILLIS;
    }
}
