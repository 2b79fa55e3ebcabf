package org.masticcroft.harness.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.json.Json;

/** Latencies of successful requests by rank and kind, and counts of all outcomes by rank and kind and by caller. */
public final class LoadSummary {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] PERCENTILES = {50, 95, 99};
    private static final double MICROS_PER_MILLI = 1_000.0;

    private static final class Group {
        private final Map<String, Long> outcomes = new TreeMap<>();
        private final Histogram firstTokenMicros = new Histogram(SIGNIFICANT_DIGITS);
        private final Histogram totalMicros = new Histogram(SIGNIFICANT_DIGITS);
    }

    private final Map<String, Group> groups = new TreeMap<>();
    private final Map<String, Map<String, Long>> outcomesByCaller = new TreeMap<>();
    private double maxScheduleLagMillis;

    private LoadSummary() {}

    /** Creates an empty summary. */
    public static LoadSummary empty() {
        return new LoadSummary();
    }

    /** Adds the outcome of a request. */
    public synchronized void add(CallerKey caller, Kind kind, Outcome outcome) {
        String outcomeClass = classify(outcome);
        Group group =
                groups.computeIfAbsent(caller.rank() + " " + kind.name().toLowerCase(Locale.ROOT), name -> new Group());
        group.outcomes.merge(outcomeClass, 1L, Long::sum);
        outcomesByCaller.computeIfAbsent(caller.key(), key -> new TreeMap<>()).merge(outcomeClass, 1L, Long::sum);
        if (outcomeClass.equals("ok")) {
            group.firstTokenMicros.recordValue((long) (outcome.firstTokenMs() * MICROS_PER_MILLI));
            group.totalMicros.recordValue((long) (outcome.totalMs() * MICROS_PER_MILLI));
        }
    }

    /** Records how late a request was sent; a large value means that the driver itself was overloaded. */
    public synchronized void addScheduleLag(double millis) {
        maxScheduleLagMillis = Math.max(maxScheduleLagMillis, millis);
    }

    /** Returns the summary as lines of text. */
    public synchronized List<String> lines() {
        List<String> lines = new ArrayList<>();
        groups.forEach((name, group) -> {
            lines.add(name + ": " + group.outcomes);
            if (group.totalMicros.getTotalCount() > 0) {
                lines.add("  first token ms: " + percentiles(group.firstTokenMicros));
                lines.add("  total ms:       " + percentiles(group.totalMicros));
            }
        });
        outcomesByCaller.forEach((key, outcomes) -> lines.add("caller " + key + ": " + outcomes));
        lines.add(String.format(Locale.ROOT, "max schedule lag ms: %.1f", maxScheduleLagMillis));
        return lines;
    }

    /** Returns the summary as JSON. */
    public synchronized ObjectNode toJson() {
        ObjectNode json = Json.object().put("max_schedule_lag_ms", maxScheduleLagMillis);
        ObjectNode groupNodes = json.putObject("groups");
        groups.forEach((name, group) -> {
            ObjectNode node = groupNodes.putObject(name);
            group.outcomes.forEach(node.putObject("outcomes")::put);
            percentiles(group.firstTokenMicros).forEach(node.putObject("first_token_ms")::put);
            percentiles(group.totalMicros).forEach(node.putObject("total_ms")::put);
        });
        ObjectNode callerNodes = json.putObject("callers");
        outcomesByCaller.forEach((key, outcomes) -> outcomes.forEach(callerNodes.putObject(key)::put));
        return json;
    }

    /** Returns the class of an outcome; a duplicate is an order that already ran or may have run. */
    static String classify(Outcome outcome) {
        if (outcome.isSuccess()) {
            return "ok";
        }
        if (!outcome.error().isEmpty()) {
            return outcome.error().equals(Outcome.REFUSED) ? "unreachable" : outcome.error();
        }
        if (outcome.isNotRun()) {
            return "refused " + outcome.status();
        }
        if (outcome.status() == 409) {
            return "duplicate";
        }
        return outcome.status() == 200 ? "incomplete" : "failed " + outcome.status();
    }

    private static Map<String, Double> percentiles(Histogram histogram) {
        Map<String, Double> values = new TreeMap<>();
        for (double percentile : PERCENTILES) {
            values.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
        }
        values.put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
        return values;
    }
}
