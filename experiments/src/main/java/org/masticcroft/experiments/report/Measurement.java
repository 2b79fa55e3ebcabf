package org.masticcroft.experiments.report;

import java.util.Objects;
import java.util.Optional;

/**
 * A measured value and the bound that it should satisfy.
 *
 * @param scenario what was replayed
 * @param policy name of the policy implementation
 * @param metric what was measured, with its unit
 * @param value the value
 * @param bound the bound on the value, or empty if it has none
 */
public record Measurement(String scenario, String policy, String metric, double value, Optional<Bound> bound) {
    public Measurement {
        Objects.requireNonNull(scenario, "scenario");
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(metric, "metric");
        Objects.requireNonNull(bound, "bound");
    }

    /** Returns a value without a bound. */
    public static Measurement of(String scenario, String policy, String metric, double value) {
        return new Measurement(scenario, policy, metric, value, Optional.empty());
    }

    /** Returns a value with a bound. */
    public static Measurement of(String scenario, String policy, String metric, double value, Bound bound) {
        return new Measurement(scenario, policy, metric, value, Optional.of(bound));
    }

    /** Returns whether the value violates its bound. */
    public boolean isMiss() {
        return bound.isPresent() && !bound.get().isSatisfiedBy(value);
    }
}
