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
    /** Counters of one process; what would exceed them is counted in one series, so that memory stays bounded. */
    private static final int MAX_COUNTERS = 2000;

    /** Upstreams that have series of their own; a fleet has some dozens, and those that leave keep theirs. */
    private static final int MAX_UPSTREAMS = 128;

    /** Value of a label that stands for all values beyond the bound. */
    private static final String OTHER = "other";

    private static final Series BEYOND_BOUND = Series.of("masticcroft_series_beyond_bound_total");

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Series, Counter> counters = new HashMap<>();
    private final Map<Series, LatencyHistogram> histograms = new HashMap<>();
    private final Set<String> upstreams = new HashSet<>();

    private ProcessMetrics() {}

    /** Creates a set of metrics without any series. */
    public static ProcessMetrics empty() {
        return new ProcessMetrics();
    }

    /** Adds one to a counter. */
    public void count(Series series) {
        counter(series).inc();
    }

    /** Returns the histogram of a metric with the given labels. */
    public LatencyHistogram histogram(String metric, Object... labelsAndValues) {
        return histograms.computeIfAbsent(
                Series.of(metric, labelsAndValues),
                series -> LatencyHistogram.of(this::counter, metric, labelsAndValues));
    }

    /** Exposes a value that is read whenever the metrics are fetched. */
    public void gauge(Series series, Supplier<Number> value) {
        Objects.requireNonNull(value, "value");
        registry.registerGauge(series.text(), (Gauge<Number>) value::get);
    }

    /** Returns the label value of an upstream; all beyond the bound share one. */
    public String upstreamLabel(String upstream) {
        if (upstreams.size() < MAX_UPSTREAMS) {
            upstreams.add(upstream);
        }
        return upstreams.contains(upstream) ? upstream : OTHER;
    }

    /** Returns all series as lines of text, in the order of their names. */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        return text.toString();
    }

    private Counter counter(Series series) {
        Counter known = counters.get(series);
        if (known != null) {
            return known;
        }
        Series bounded = counters.size() < MAX_COUNTERS ? series : BEYOND_BOUND;
        Counter added = registry.counter(bounded.text());
        counters.put(bounded, added);
        return added;
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
