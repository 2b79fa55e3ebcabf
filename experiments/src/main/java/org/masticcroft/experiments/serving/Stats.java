package org.masticcroft.experiments.serving;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.Predicate;
import org.HdrHistogram.DoubleHistogram;

/** Statistics over the results of a replay. */
final class Stats {
    private static final int SIGNIFICANT_DIGITS = 3;

    private Stats() {}

    /** Returns the 95th percentile of the time to the first token in milliseconds; NaN if no request has one. */
    static double p95FirstTokenMillis(Collection<RequestResult> results, Predicate<RequestResult> filter) {
        DoubleHistogram histogram = new DoubleHistogram(SIGNIFICANT_DIGITS);
        results.stream()
                .filter(filter.and(RequestResult::hasFirstToken))
                .forEach(result -> histogram.recordValue(result.firstTokenMillis()));
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(95);
    }

    /** Returns the fraction of accepted requests whose first token arrived within the target; NaN if there are none. */
    static double fractionWithinTarget(
            Collection<RequestResult> results, Predicate<RequestResult> filter, long targetMillis) {
        Predicate<RequestResult> accepted = filter.and(result -> !result.isRefused());
        long all = results.stream().filter(accepted).count();
        long good = results.stream()
                .filter(accepted.and(RequestResult::hasFirstToken))
                .filter(result -> result.firstTokenMillis() <= targetMillis)
                .count();
        return all == 0 ? Double.NaN : (double) good / all;
    }

    /** Returns Jain's index: 1 if all values are equal, 1/n if only one of n is not 0. */
    static double jainIndex(double[] values) {
        double sum = Arrays.stream(values).sum();
        double squares = Arrays.stream(values).map(value -> value * value).sum();
        return squares == 0 ? Double.NaN : sum * sum / (values.length * squares);
    }
}
