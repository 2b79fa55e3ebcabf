package org.masticcroft.experiments.report;

import java.util.Objects;
import java.util.Optional;

/**
 * One measured value.
 *
 * @param scenario what was replayed
 * @param policy name of the decision implementation
 * @param metric what was measured, with its unit
 * @param value the value
 * @param bound the bound on the value, if there is one
 */
public record Measure(String scenario, String policy, String metric, double value, Optional<Bound> bound) {
    public Measure {
        Objects.requireNonNull(scenario, "scenario");
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(metric, "metric");
        Objects.requireNonNull(bound, "bound");
    }

    /** Returns a value without a bound. */
    public static Measure of(String scenario, String policy, String metric, double value) {
        return new Measure(scenario, policy, metric, value, Optional.empty());
    }

    /** Returns a value with a bound. */
    public static Measure of(String scenario, String policy, String metric, double value, Bound bound) {
        return new Measure(scenario, policy, metric, value, Optional.of(bound));
    }

    /** Returns whether the value misses its bound. */
    public boolean isMiss() {
        return bound.isPresent() && !bound.get().isKeptBy(value);
    }
}
