package org.masticcroft.gateway.metrics;

import com.codahale.metrics.Counter;
import java.util.function.Function;

/** Histogram of durations. Its buckets are cumulative counters, so that those of several processes can be added up. */
public final class LatencyHistogram {
    /** Upper bounds of the buckets; latency targets lie between 150 and 1000 ms, deadlines between 1000 and 6000 ms. */
    private static final int[] BOUNDS_MILLIS = {25, 50, 100, 150, 200, 400, 600, 1000, 1500, 2500, 4000, 6000};

    private final Counter[] buckets = new Counter[BOUNDS_MILLIS.length + 1];
    private final Counter sum;
    private final Counter count;

    private LatencyHistogram(Function<Series, Counter> counters, String metric, Object... labelsAndValues) {
        for (int i = 0; i < BOUNDS_MILLIS.length; i++) {
            buckets[i] = counters.apply(Series.of(metric + "_bucket", withBound(labelsAndValues, BOUNDS_MILLIS[i])));
        }
        buckets[BOUNDS_MILLIS.length] =
                counters.apply(Series.of(metric + "_bucket", withBound(labelsAndValues, "+Inf")));
        this.sum = counters.apply(Series.of(metric + "_sum", labelsAndValues));
        this.count = counters.apply(Series.of(metric + "_count", labelsAndValues));
    }

    static LatencyHistogram of(Function<Series, Counter> counters, String metric, Object... labelsAndValues) {
        return new LatencyHistogram(counters, metric, labelsAndValues);
    }

    /** Records a duration in milliseconds. */
    public void observe(long millis) {
        for (int i = 0; i < BOUNDS_MILLIS.length; i++) {
            if (millis <= BOUNDS_MILLIS[i]) {
                buckets[i].inc();
            }
        }
        buckets[BOUNDS_MILLIS.length].inc();
        sum.inc(millis);
        count.inc();
    }

    private static Object[] withBound(Object[] labelsAndValues, Object bound) {
        Object[] all = new Object[labelsAndValues.length + 2];
        System.arraycopy(labelsAndValues, 0, all, 0, labelsAndValues.length);
        all[labelsAndValues.length] = "le";
        all[labelsAndValues.length + 1] = bound;
        return all;
    }
}
