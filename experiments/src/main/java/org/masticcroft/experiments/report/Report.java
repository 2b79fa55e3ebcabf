package org.masticcroft.experiments.report;

import java.util.List;
import java.util.Objects;

/**
 * Measurements of one experiment.
 *
 * @param decision name of the experiment
 * @param measures the measurements, in the order in which they were taken
 */
public record Report(String decision, List<Measurement> measurements) {
    public Report {
        Objects.requireNonNull(decision, "decision");
        measurements = List.copyOf(measurements);
    }

    /** Returns the measurements of one policy that violate their bound. */
    public List<Measurement> misses(String policy) {
        return measurements.stream()
                .filter(measurement -> measurement.policy().equals(policy) && measurement.isMiss())
                .toList();
    }

    /** Returns a measured value, or NaN if it was not measured. */
    public double value(String scenario, String policy, String metric) {
        return measurements.stream()
                .filter(measurement -> measurement.scenario().equals(scenario)
                        && measurement.policy().equals(policy)
                        && measurement.metric().equals(metric))
                .mapToDouble(Measurement::value)
                .findFirst()
                .orElse(Double.NaN);
    }
}
