package org.masticcroft.gateway.metrics;

import java.util.Objects;

/**
 * Identifies a time series: the name of a metric and its labels, in the text form in which it is exposed.
 *
 * @param text name and labels, for example {@code requests_total{kind="stream",outcome="ran"}}
 */
public record Series(String text) {
    /** Requires the text. */
    public Series {
        Objects.requireNonNull(text, "text");
    }

    /**
     * Creates the identifier of a series.
     *
     * @param metric name of the metric
     * @param labelsAndValues alternating label names and values
     */
    public static Series of(String metric, Object... labelsAndValues) {
        if (labelsAndValues.length == 0) {
            return new Series(metric);
        }
        StringBuilder text = new StringBuilder(metric).append('{');
        for (int i = 0; i < labelsAndValues.length; i += 2) {
            text.append(i == 0 ? "" : ",")
                    .append(labelsAndValues[i])
                    .append("=\"")
                    .append(escaped(labelsAndValues[i + 1]))
                    .append('"');
        }
        return new Series(text.append('}').toString());
    }

    private static String escaped(Object value) {
        return value.toString().replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
