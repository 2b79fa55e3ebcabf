package org.masticcroft.experiments.serving;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.Predicate;
import org.HdrHistogram.DoubleHistogram;

/** Statistics over the results of a replay. */
final class Stats {
    private static final int DIGITS = 3;

    private Stats() {}

    /** Returns the 95th percentile of the time to the first token in milliseconds; NaN if nothing was served. */
    static double p95FirstTokenMillis(Collection<Served> results, Predicate<Served> which) {
        DoubleHistogram histogram = new DoubleHistogram(DIGITS);
        results.stream()
                .filter(which.and(Served::hasFirstToken))
                .forEach(result -> histogram.recordValue(result.firstTokenMillis()));
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(95);
    }

    /** Returns the part of the accepted requests whose first token came within the target. */
    static double partInTarget(Collection<Served> results, Predicate<Served> which, long targetMillis) {
        Predicate<Served> accepted = which.and(result -> !result.isRefused());
        long all = results.stream().filter(accepted).count();
        long good = results.stream()
                .filter(accepted.and(Served::hasFirstToken))
                .filter(result -> result.firstTokenMillis() <= targetMillis)
                .count();
        return all == 0 ? Double.NaN : (double) good / all;
    }

    /** Returns Jain's index: 1 if all values are equal, 1/n if one of n has everything. */
    static double jain(double[] values) {
        double sum = Arrays.stream(values).sum();
        double squares = Arrays.stream(values).map(value -> value * value).sum();
        return squares == 0 ? Double.NaN : sum * sum / (values.length * squares);
    }
}
