package org.masticcroft.gateway.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

/** Counters, gauges and latency histograms of a process. Used on the event loop only. */
public final class ProcessMetrics {
    /** Most counters of a process. All further series share one counter, so that memory stays bounded. */
    private static final int MAX_COUNTERS = 2000;

    /** Most upstreams with series of their own; a fleet has some dozens, and upstreams that leave keep theirs. */
    private static final int MAX_UPSTREAMS = 128;

    /** Label value of all upstreams beyond the limit. */
    private static final String OTHER = "other";

    /** Series that is counted in place of all series beyond the limit. */
    private static final Series OVERFLOW_SERIES = Series.of("masticcroft_series_beyond_bound_total");

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Series, Counter> counters = new HashMap<>();
    private final Map<Series, LatencyHistogram> histograms = new HashMap<>();
    private final Set<String> upstreams = new HashSet<>();

    private ProcessMetrics() {}

    /** Creates an empty set of metrics. */
    public static ProcessMetrics empty() {
        return new ProcessMetrics();
    }

    /** Increments the counter of a series. */
    public void count(Series series) {
        counter(series).inc();
    }

    /**
     * Returns the histogram of a metric, creating it if necessary.
     *
     * @param metric name of the metric
     * @param labelsAndValues alternating label names and values
     */
    public LatencyHistogram histogram(String metric, Object... labelsAndValues) {
        return histograms.computeIfAbsent(
                Series.of(metric, labelsAndValues),
                series -> LatencyHistogram.of(this::counter, metric, labelsAndValues));
    }

    /** Registers a gauge, whose value is read whenever the metrics are fetched. */
    public void gauge(Series series, Supplier<Number> value) {
        Objects.requireNonNull(value, "value");
        registry.registerGauge(series.text(), (Gauge<Number>) value::get);
    }

    /** Returns the label value of an upstream. Upstreams beyond the limit share one value. */
    public String upstreamLabel(String upstream) {
        if (upstreams.size() < MAX_UPSTREAMS) {
            upstreams.add(upstream);
        }
        return upstreams.contains(upstream) ? upstream : OTHER;
    }

    /** Returns the gauges and then the counters in the text format, each sorted by name. */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
        return text.toString();
    }

    private Counter counter(Series series) {
        Counter existing = counters.get(series);
        if (existing != null) {
            return existing;
        }
        Series counted = counters.size() < MAX_COUNTERS ? series : OVERFLOW_SERIES;
        Counter counter = registry.counter(counted.text());
        counters.put(counted, counter);
        return counter;
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
