package org.masticcroft.experiments.report;

import java.util.List;
import java.util.Objects;

/**
 * Result of one experiment.
 *
 * @param decision name of the experiment
 * @param measures the measured values
 */
public record Report(String decision, List<Measure> measures) {
    public Report {
        Objects.requireNonNull(decision, "decision");
        measures = List.copyOf(measures);
    }

    /** Returns the values of one policy that miss their bound. */
    public List<Measure> misses(String policy) {
        return measures.stream()
                .filter(measure -> measure.policy().equals(policy) && measure.isMiss())
                .toList();
    }

    /** Returns one value; NaN if it was not measured. */
    public double value(String scenario, String policy, String metric) {
        return measures.stream()
                .filter(measure -> measure.scenario().equals(scenario)
                        && measure.policy().equals(policy)
                        && measure.metric().equals(metric))
                .mapToDouble(Measure::value)
                .findFirst()
                .orElse(Double.NaN);
    }
}
